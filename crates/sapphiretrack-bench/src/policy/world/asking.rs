//! Asks stewards for slots, one server after the other, and waits or refuses.

use sapphiretrack_core::{Grant, ReserveRequest, WaitSettings, wait_for_room, with_most_servers};
use sapphiretrack_peer::PeerRequest;

use crate::policy::engine::Engine;
use crate::policy::policies::Policy;
use crate::policy::router::Try;

use super::event::Event;
use super::{START_US, World, deadline_ms};

/// How long a call to a silent peer takes.
const CALL_TIMEOUT_US: u64 = 400_000;

impl World<'_> {
    /// Tries the next server of the order, or refuses.
    pub(super) fn try_next(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let Some(wanted) = pending.order.get(pending.next).copied() else {
            return self.end_round(request);
        };
        pending.next += 1;
        pending.import_from = wanted.import_from;
        let server = wanted.server;
        if self.policy != Policy::Sapphiretrack {
            return self.enter(request, server);
        }
        let share = self.share(request);
        let (steward, ask) = self.routers[turn.router].begin(&wanted, share, self.now_us / 1_000);
        let Some(steward) = steward else {
            self.routers[turn.router].end(ask.reservation);
            return self.try_next(request);
        };
        self.pending[request as usize].steward = Some(steward);
        if steward == turn.router {
            return self.ask(request, steward, &ask, wanted);
        }
        self.meter.count(&match wanted.told {
            None => PeerRequest::Reserve(ask),
            Some(told) => PeerRequest::ReserveAgain { request: ask, told },
        });
        let at_us = self.now_us + self.scenario.peer_delay_us;
        self.schedule(
            at_us,
            Event::Ask {
                request,
                router: steward,
                ask,
                wanted,
            },
        );
    }

    /// A round of questions has ended without a grant: stewards that refused are asked once more
    /// where the counts that came with the refusals are expected to help.
    pub(super) fn end_round(&mut self, request: u32) {
        let router = &self.routers[self.turn(request).router];
        let (share, now_ms) = (self.share(request), self.now_ms());
        let pending = &mut self.pending[request as usize];
        let mut full = std::mem::take(&mut pending.full);
        with_most_servers(full.iter_mut().map(|(_, refusal)| refusal));
        if pending.asks_again {
            return self.wait_or_refuse(request);
        }
        let again = full.into_iter().filter_map(|(wanted, full)| {
            let told = router.ask_again(full, share, now_ms)?;
            Some(Try {
                told: Some(told),
                ..wanted
            })
        });
        pending.order = again.collect();
        pending.next = 0;
        pending.asks_again = true;
        self.try_next(request);
    }

    /// A steward decides.
    pub(super) fn ask(&mut self, request: u32, steward: usize, ask: &ReserveRequest, wanted: Try) {
        let router = self.turn(request).router;
        let now_ms = self.now_ms();
        if self.cut[router][steward] > 0 {
            self.routers[router].end(ask.reservation);
            self.routers[router].note_silent(steward, now_ms + CALL_TIMEOUT_US / 1_000);
            return self.try_later(request, CALL_TIMEOUT_US);
        }
        let grant = self.routers[steward].reserve(ask, wanted.told, now_ms);
        let full = self.routers[steward].full_server(ask.server, now_ms);
        if steward != router {
            self.meter.count_reply_to_reserve(grant, full);
        }
        match grant {
            Grant::Granted => {
                self.pending[request as usize].reservation = Some(ask.reservation);
                return self.enter(request, wanted.server);
            }
            Grant::Full => {
                self.routers[router].note_full(steward, full, now_ms);
                self.pending[request as usize].full.push((wanted, full));
            }
            Grant::NotSteward => {
                self.routers[router].note_not_steward(steward, wanted.server, now_ms);
            }
        }
        self.routers[router].end(ask.reservation);
        let back_us = if router == steward {
            0
        } else {
            self.scenario.peer_delay_us
        };
        self.try_later(request, back_us);
    }

    pub(super) fn try_later(&mut self, request: u32, after_us: u64) {
        // The order is kept: an arrival only draws it anew when a server failed.
        if after_us == 0 {
            return self.try_next(request);
        }
        let pending = &self.pending[request as usize];
        let rest: Vec<Try> = pending.order[pending.next..].to_vec();
        let pending = &mut self.pending[request as usize];
        pending.order = rest;
        pending.next = 0;
        self.schedule(self.now_us + after_us, Event::Retry(request));
    }

    pub(super) fn wait_or_refuse(&mut self, request: u32) {
        let turn = self.turn(request);
        let in_flight = self.engines.iter().map(Engine::in_flight).sum();
        let deadline_ms = deadline_ms(turn.is_urgent);
        // The deadline is for the first token; an answer that goes on elsewhere has as long for
        // the next one.
        let pending = &self.pending[request as usize];
        let began_us = pending.resumed_us.unwrap_or(START_US + turn.at_us);
        let since_us = self.now_us - began_us;
        let left_ms = (deadline_ms as u64).saturating_sub(since_us / 1_000);
        let pending = &mut self.pending[request as usize];
        let waited_ms = pending.waited_ms;
        let wait = wait_for_room(&WaitSettings::default(), in_flight, waited_ms, left_ms);
        let knows_bound = self.policy == Policy::Oracle || self.policy.exchanges_heartbeats();
        match wait.filter(|_| knows_bound) {
            Some(wait_ms) => {
                pending.waited_ms += wait_ms;
                self.schedule(self.now_us + wait_ms * 1_000, Event::Arrive(request));
            }
            None => self.refuse(request),
        }
    }

    pub(super) fn refuse(&mut self, request: u32) {
        self.measures.refused += 1;
        let failed = self.turn(request).is_urgent && self.has_room(request);
        self.measures.urgent_failed_with_room += u64::from(failed);
    }
}
