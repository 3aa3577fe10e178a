//! List of the servers that have chats cached, as sent to other routers and stored in snapshots.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ChatKey, Incarnation, ServerId, WarmHint};

/// The servers that have chats cached. It contains ages instead of times, since each router has its
/// own clock.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WarmList {
    /// The servers; chats refer to them by index.
    pub servers: Vec<(ServerId, Incarnation)>,
    /// The chats.
    pub chats: Vec<WarmChat>,
}

/// A chat of a list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WarmChat {
    /// The chat.
    pub chat: ChatKey,
    /// The index of its server in [`WarmList::servers`].
    pub server: u16,
    /// Number of its tokens that are cached there.
    pub tokens: u32,
    /// Age of the hint, rounded up so that forwarding never makes it newer.
    pub age_s: u32,
}

impl WarmList {
    /// Creates a list of these hints. Chats on servers beyond the first 65,536 are left out.
    pub fn new<Hints>(hints: Hints) -> Self
    where
        Hints: IntoIterator<Item = (ChatKey, WarmHint)>,
    {
        let mut list = Self::default();
        let mut indices = BTreeMap::new();
        for (chat, hint) in hints {
            let server = (hint.server, hint.incarnation);
            let next = list.servers.len();
            let index = *indices.entry(server).or_insert(next);
            let Ok(server_index) = u16::try_from(index) else {
                continue;
            };
            if index == next {
                list.servers.push(server);
            }
            list.chats.push(WarmChat {
                chat,
                server: server_index,
                tokens: hint.tokens,
                age_s: u32::try_from(hint.age_ms.div_ceil(1_000)).unwrap_or(u32::MAX),
            });
        }
        list
    }

    /// The hints, with `extra_age_ms` added to their ages. Chats whose server is not in the list
    /// are skipped.
    pub fn hints(&self, extra_age_ms: u64) -> impl Iterator<Item = (ChatKey, WarmHint)> {
        self.chats.iter().filter_map(move |warm| {
            let (server, incarnation) = *self.servers.get(usize::from(warm.server))?;
            let hint = WarmHint {
                server,
                incarnation,
                tokens: warm.tokens,
                age_ms: (u64::from(warm.age_s) * 1_000).saturating_add(extra_age_ms),
            };
            Some((warm.chat, hint))
        })
    }
}

/// Truncates the list to its newest hints, in no particular order.
pub fn keep_newest(hints: &mut Vec<(ChatKey, WarmHint)>, limit: usize) {
    if hints.len() > limit {
        hints.select_nth_unstable_by_key(limit, |(chat, hint)| (hint.age_ms, *chat));
        hints.truncate(limit);
    }
}
