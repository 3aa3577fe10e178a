//! Where chats are warm, as one router tells another or its successor.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ChatKey, Incarnation, ServerId, WarmHint};

/// Where chats are warm. It tells ages and no instants, since each router has a clock of its own.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WarmList {
    /// The servers, which chats name by their place here.
    pub servers: Vec<(ServerId, Incarnation)>,
    /// The chats.
    pub chats: Vec<WarmChat>,
}

/// One chat of a list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WarmChat {
    /// The chat.
    pub chat: ChatKey,
    /// The place of its server in the list.
    pub server: u16,
    /// Its tokens that are cached there.
    pub tokens: u32,
    /// How long ago that was noted, rounded up: passing knowledge on never makes it newer.
    pub age_s: u32,
}

impl WarmList {
    /// A list of these places.
    pub fn new<Places>(places: Places) -> Self
    where
        Places: IntoIterator<Item = (ChatKey, WarmHint)>,
    {
        let mut list = Self::default();
        let mut known = BTreeMap::new();
        for (chat, place) in places {
            let server = (place.server, place.incarnation);
            let next = list.servers.len();
            let index = *known.entry(server).or_insert(next);
            let Ok(server_index) = u16::try_from(index) else {
                continue;
            };
            if index == next {
                list.servers.push(server);
            }
            list.chats.push(WarmChat {
                chat,
                server: server_index,
                tokens: place.tokens,
                age_s: u32::try_from(place.age_ms.div_ceil(1_000)).unwrap_or(u32::MAX),
            });
        }
        list
    }

    /// The places, older by `more_ms`; a chat whose server is not listed is passed over.
    pub fn places(&self, more_ms: u64) -> impl Iterator<Item = (ChatKey, WarmHint)> {
        self.chats.iter().filter_map(move |warm| {
            let (server, incarnation) = *self.servers.get(usize::from(warm.server))?;
            let place = WarmHint {
                server,
                incarnation,
                tokens: warm.tokens,
                age_ms: (u64::from(warm.age_s) * 1_000).saturating_add(more_ms),
            };
            Some((warm.chat, place))
        })
    }
}

/// Keeps the newest places, in no order.
pub fn keep_newest(places: &mut Vec<(ChatKey, WarmHint)>, limit: usize) {
    if places.len() > limit {
        places.select_nth_unstable_by_key(limit, |(chat, place)| (place.age_ms, *chat));
        places.truncate(limit);
    }
}
