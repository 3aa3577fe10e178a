//! The subset of a pool's servers where a workspace's new chats are placed.

use crate::{PlacementSettings, ServerId, ServerView, WorkspaceKey, rendezvous_score};

/// Size of the subset of a workspace with this share of the pool's load, out of `servers`.
///
/// The size is rounded up to a power of two, so that routers with slightly different estimates of
/// the share agree, and the home servers of chats don't move with small changes of the load.
pub(crate) fn subset_size(settings: &PlacementSettings, servers: usize, share: f64) -> usize {
    let wanted = (share.clamp(0.0, 1.0) * servers as f64 * settings.subset_spread).ceil() as usize;
    wanted
        .max(settings.subset_servers)
        .next_power_of_two()
        .min(servers)
}

/// The workspace's servers, which are those with the highest rendezvous scores, in no particular
/// order.
pub(crate) fn workspace_subset(
    workspace: WorkspaceKey,
    servers: &[&ServerView],
    size: usize,
) -> Vec<ServerId> {
    let mut scored: Vec<(f64, ServerId)> = servers
        .iter()
        .map(|server| (rendezvous_score(workspace.0, server.id.0, 1.0), server.id))
        .collect();
    if size < scored.len() {
        scored.select_nth_unstable_by(size, |a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scored.truncate(size);
    }
    scored.into_iter().map(|(_, server)| server).collect()
}
