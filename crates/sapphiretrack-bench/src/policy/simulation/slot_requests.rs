//! Requests slots from the stewards, one server after the other, and waits or refuses the request
//! if none is granted.

use sapphiretrack_core::{
    Grant, ReserveRequest, WaitSettings, capacity_retry_delay_ms, raise_live_servers_to_max,
};
use sapphiretrack_peer::PeerRequest;

use crate::policy::engine::Engine;
use crate::policy::policies::Policy;
use crate::policy::router::Attempt;

use super::event::Event;
use super::{START_US, Simulation, deadline_ms};

/// Time after which a call to an unreachable peer fails.
const PEER_CALL_TIMEOUT_US: u64 = 400_000;

impl Simulation<'_> {
    /// Tries the next server of the request, or ends the round if there is none.
    pub(super) fn try_next(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let Some(attempt) = pending.attempts.get(pending.next_attempt).copied() else {
            return self.end_round(request);
        };
        pending.next_attempt += 1;
        pending.import_from = attempt.import_from;
        let server = attempt.server;
        if self.policy != Policy::Sapphiretrack {
            return self.submit(request, server);
        }
        let share = self.bound_share(request);
        let (steward, reserve_request) =
            self.routers[turn.router].begin_reservation(&attempt, share, self.now_us / 1_000);
        let Some(steward) = steward else {
            self.routers[turn.router].end_reservation(reserve_request.reservation);
            return self.try_next(request);
        };
        self.pending[request as usize].steward = Some(steward);
        if steward == turn.router {
            return self.request_slot(request, steward, &reserve_request, attempt);
        }
        self.control_traffic
            .count_request(&match attempt.known_load {
                None => PeerRequest::Reserve(reserve_request),
                Some(told) => PeerRequest::ReserveAgain {
                    request: reserve_request,
                    known_load: told,
                },
            });
        let at_us = self.now_us + self.scenario.peer_delay_us;
        self.schedule(
            at_us,
            Event::RequestSlot {
                request,
                router: steward,
                reserve_request,
                attempt,
            },
        );
    }

    /// Ends a round of slot requests without a grant.
    ///
    /// After the first round, stewards that refused are asked once more if they are expected to
    /// grant the slot once they know this router's count of requests and the largest number of
    /// live servers in the refusals. After the second round, the request waits or is refused.
    pub(super) fn end_round(&mut self, request: u32) {
        let router = &self.routers[self.turn(request).router];
        let (share, now_ms) = (self.bound_share(request), self.now_ms());
        let pending = &mut self.pending[request as usize];
        let mut full = std::mem::take(&mut pending.full_refusals);
        raise_live_servers_to_max(full.iter_mut().map(|(_, refusal)| refusal));
        if pending.is_second_round {
            return self.wait_or_refuse(request);
        }
        let again = full.into_iter().filter_map(|(attempt, full)| {
            let known_load = router.load_for_repeat(full, share, now_ms)?;
            Some(Attempt {
                known_load: Some(known_load),
                ..attempt
            })
        });
        pending.attempts = again.collect();
        pending.next_attempt = 0;
        pending.is_second_round = true;
        self.try_next(request);
    }

    /// Lets a steward decide on a slot request, and submits the request or tries the next server.
    pub(super) fn request_slot(
        &mut self,
        request: u32,
        steward: usize,
        reserve_request: &ReserveRequest,
        attempt: Attempt,
    ) {
        let router = self.turn(request).router;
        let now_ms = self.now_ms();
        if self.partitions[router][steward] > 0 {
            self.routers[router].end_reservation(reserve_request.reservation);
            self.routers[router]
                .record_steward_timeout(steward, now_ms + PEER_CALL_TIMEOUT_US / 1_000);
            return self.retry_later(request, PEER_CALL_TIMEOUT_US);
        }
        let grant = self.routers[steward].reserve(reserve_request, attempt.known_load, now_ms);
        let full = self.routers[steward].full_server(reserve_request.server, now_ms);
        if steward != router {
            self.control_traffic.count_reply_to_reserve(grant, full);
        }
        match grant {
            Grant::Granted => {
                self.pending[request as usize].reservation = Some(reserve_request.reservation);
                return self.submit(request, attempt.server);
            }
            Grant::Full => {
                self.routers[router].record_full_refusal(steward, full, now_ms);
                self.pending[request as usize]
                    .full_refusals
                    .push((attempt, full));
            }
            Grant::NotSteward => {
                self.routers[router].record_not_steward(steward, attempt.server, now_ms);
            }
        }
        self.routers[router].end_reservation(reserve_request.reservation);
        let back_us = if router == steward {
            0
        } else {
            self.scenario.peer_delay_us
        };
        self.retry_later(request, back_us);
    }

    pub(super) fn retry_later(&mut self, request: u32, after_us: u64) {
        // The remaining attempts are kept; only an arrival ranks the servers again.
        if after_us == 0 {
            return self.try_next(request);
        }
        let pending = &self.pending[request as usize];
        let rest: Vec<Attempt> = pending.attempts[pending.next_attempt..].to_vec();
        let pending = &mut self.pending[request as usize];
        pending.attempts = rest;
        pending.next_attempt = 0;
        self.schedule(self.now_us + after_us, Event::Retry(request));
    }

    pub(super) fn wait_or_refuse(&mut self, request: u32) {
        let turn = self.turn(request);
        let in_flight = self.engines.iter().map(Engine::in_flight).sum();
        let deadline_ms = deadline_ms(turn.is_urgent);
        // The deadline applies to the first token. An answer that continues on another server gets
        // the same time for its next token.
        let pending = &self.pending[request as usize];
        let began_us = pending.interrupted_us.unwrap_or(START_US + turn.at_us);
        let since_us = self.now_us - began_us;
        let left_ms = (deadline_ms as u64).saturating_sub(since_us / 1_000);
        let pending = &mut self.pending[request as usize];
        let waited_ms = pending.waited_ms;
        let wait = capacity_retry_delay_ms(&WaitSettings::default(), in_flight, waited_ms, left_ms);
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
        let failed = self.turn(request).is_urgent && self.has_capacity(request);
        self.measures.urgent_failed_with_room += u64::from(failed);
    }
}
