//! Requests on their servers, from the submission to the end.

use sapphiretrack_core::WarmHint;
use sapphiretrack_peer::PeerRequest;

use crate::policy::engine::{EngineRequest, StartedRequest};

use super::event::Event;
use super::{CONNECTION_REFUSED_US, START_US, Simulation, deadline_ms};

/// The whole load bound; breaches are counted against it whatever the urgency of a request.
const FULL_SHARE: f64 = 1.0;

impl Simulation<'_> {
    /// Submits a request to a server; if the server is down, the request tries the next one.
    pub(super) fn submit(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        self.pending[request as usize].placed_on = server;
        self.routers[turn.router].record_sent(server);
        if !self.engines[server].is_up {
            self.release_slot(request);
            self.routers[turn.router].mark_unreachable(server);
            return self.retry_later(request, CONNECTION_REFUSED_US);
        }
        let limit = self.true_limit(FULL_SHARE);
        let source = self.pending[request as usize].import_from;
        let import_tokens = source.map_or(0, |source| {
            self.engines[source].exportable_tokens(turn.chat)
        });
        let engine_request = EngineRequest {
            request,
            chat: turn.chat,
            workspace: turn.workspace,
            prefix_tokens: turn.prefix_tokens,
            prompt_tokens: turn.prompt_tokens,
            answer_tokens: turn.answer_tokens,
            priority: u8::from(!turn.is_urgent),
            import_tokens,
        };
        let started = self.engines[server].submit(engine_request, self.now_us);
        self.measures.bound_breaches += u64::from(self.engines[server].in_flight() > limit);
        self.record_started(server, started);
    }

    pub(super) fn record_started(&mut self, server: usize, started: Option<StartedRequest>) {
        let Some(started) = started else { return };
        let pending = &mut self.pending[started.request as usize];
        pending.cached_tokens = started.cached_tokens;
        pending.first_token_us = pending.first_token_us.min(started.first_token_us);
        self.samples.imported_tokens += u64::from(started.imported_tokens);
        let incarnation = self.engines[server].incarnation;
        let turn = self.turn(started.request);
        let prompt_tokens = turn.prompt_tokens;
        self.replacement
            .record_start(turn.chat, prompt_tokens, started.cached_tokens);
        self.samples
            .record_start(self.now_us, prompt_tokens, started.cached_tokens);
        let request = started.request;
        self.schedule(
            started.done_us,
            Event::Finish {
                server,
                incarnation,
                request,
            },
        );
    }

    pub(super) fn finish(&mut self, server: usize, incarnation: u64, request: u32) {
        if self.engines[server].incarnation != incarnation || !self.engines[server].is_up {
            return;
        }
        let started = self.engines[server].finish(request, self.now_us);
        self.record_started(server, started);
        self.release_slot(request);
        self.record_answer(request, server);
        if self.engines[server].is_leaving && self.engines[server].in_flight() == 0 {
            self.engines[server].is_up = false;
        }
    }

    pub(super) fn record_answer(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        let pending = &self.pending[request as usize];
        let waited_us = pending.first_token_us - (START_US + turn.at_us);
        let first_token_ms = waited_us as f64 / 1_000.0;
        self.samples.first_token_ms.push(first_token_ms);
        let deadline_ms = deadline_ms(turn.is_urgent);
        if first_token_ms > deadline_ms {
            self.measures.late += 1;
            let failed = turn.is_urgent && pending.had_capacity;
            self.measures.urgent_failed_with_room += u64::from(failed);
        }
        let hint = WarmHint {
            server: self.server_ids[server],
            incarnation: self.engines[server].incarnation,
            tokens: turn.prompt_tokens + turn.answer_tokens,
            age_ms: 0,
        };
        let now_ms = self.now_ms();
        self.caller_values.insert(turn.chat, hint);
        self.replacement.record_answer(turn.chat, turn.router);
        if self.scenario.sticky {
            self.routers[turn.router].remember(turn.chat, hint, now_ms);
        }
    }

    /// Ends a request on its server and releases its slot, if it holds one.
    pub(super) fn release_slot(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let server = pending.placed_on;
        let router = &mut self.routers[turn.router];
        router.record_ended(server);
        let Some(reservation) = pending.reservation.take() else {
            return;
        };
        router.end_reservation(reservation);
        let Some(steward) = pending.steward else {
            return;
        };
        let in_flight = router.pool_in_flight();
        let id = router.id;
        if steward == turn.router {
            let now_ms = self.now_us / 1_000;
            return router.release(id, server, reservation, in_flight, now_ms);
        }
        let release = PeerRequest::Release {
            router: id,
            server: self.server_ids[server],
            reservation,
            in_flight: in_flight as u16,
        };
        self.control_traffic.count_request(&release);
        self.control_traffic.count_reply_to_release();
        if self.partitions[turn.router][steward] == 0 {
            let at_us = self.now_us + self.scenario.peer_delay_us;
            self.schedule(
                at_us,
                Event::Release {
                    steward,
                    router: id,
                    server,
                    reservation,
                    in_flight,
                },
            );
        }
    }
}
