//! The servers that a workspace's chats start on.

use crate::{PlacementSettings, ServerId, ServerView, WorkspaceKey, rendezvous_score};

/// How many servers a workspace with this share of the pool's load starts its chats on.
///
/// The size moves in powers of two, so that routers whose shares differ a little
/// still agree, and a workspace whose load wavers does not lose its homes.
pub(crate) fn subset_size(settings: &PlacementSettings, live: usize, share: f64) -> usize {
    let wanted = (share.clamp(0.0, 1.0) * live as f64 * settings.subset_spread).ceil() as usize;
    wanted
        .max(settings.subset_servers)
        .next_power_of_two()
        .min(live)
}

/// The workspace's servers: the ones with the highest rendezvous scores, in no order.
pub(crate) fn workspace_subset(
    workspace: WorkspaceKey,
    live: &[&ServerView],
    size: usize,
) -> Vec<ServerId> {
    let mut scored: Vec<(f64, ServerId)> = live
        .iter()
        .map(|server| (rendezvous_score(workspace.0, server.id.0, 1.0), server.id))
        .collect();
    if size < scored.len() {
        scored.select_nth_unstable_by(size, |a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scored.truncate(size);
    }
    scored.into_iter().map(|(_, server)| server).collect()
}
