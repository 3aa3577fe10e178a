//! Router incarnations proven to have ended, so that their timeouts need not be awaited.

use std::collections::BTreeMap;

use crate::{Incarnation, RouterId};

/// Maximum number of incarnations in each table.
const MAX_INCARNATIONS: usize = 1_024;

/// The routers whose latest known incarnation has ended.
///
/// The proof is a refused connection to the address where that incarnation listened. A lack of
/// heartbeats proves nothing: a frozen or partitioned router may continue to grant slots. If a
/// heartbeat shows that a refusal was wrong, for example because a packet filter refused the
/// connection, later refusals for that incarnation are ignored.
#[derive(Debug, Default)]
pub struct EndedIncarnations {
    ended: BTreeMap<RouterId, Incarnation>,
    /// Incarnations that sent a heartbeat after a refused connection.
    disproved: BTreeMap<RouterId, Incarnation>,
}

impl EndedIncarnations {
    /// Records a refused connection; returns whether it newly proves that an incarnation ended.
    ///
    /// `dialled` is the latest incarnation known when the connection attempt started, `newest` the
    /// latest one known now. If they differ, the refusal proves nothing about `newest`.
    pub fn note_refused(
        &mut self,
        router: RouterId,
        dialled: Incarnation,
        newest: Incarnation,
    ) -> bool {
        let is_disproved = self.disproved.get(&router) == Some(&newest);
        if dialled != newest || is_disproved || self.has_ended(router, newest) {
            return false;
        }
        insert_bounded(&mut self.ended, router, newest);
        true
    }

    /// Records a heartbeat, which disproves an earlier refusal for the same incarnation.
    pub fn note_seen(&mut self, router: RouterId, incarnation: Incarnation) {
        if self.ended.remove(&router) == Some(incarnation) {
            insert_bounded(&mut self.disproved, router, incarnation);
        }
    }

    /// Whether a router's latest known incarnation has ended.
    pub fn has_ended(&self, router: RouterId, newest: Incarnation) -> bool {
        self.ended.get(&router) == Some(&newest)
    }

    /// The routers whose latest known incarnation has ended.
    pub fn routers(&self) -> impl Iterator<Item = RouterId> {
        self.ended.keys().copied()
    }
}

fn insert_bounded(
    table: &mut BTreeMap<RouterId, Incarnation>,
    router: RouterId,
    incarnation: Incarnation,
) {
    if table.len() >= MAX_INCARNATIONS {
        table.pop_first();
    }
    table.insert(router, incarnation);
}
