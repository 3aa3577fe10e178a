//! A request on its server, from its entry to its end.

use sapphiretrack_core::WarmHint;
use sapphiretrack_peer::PeerRequest;

use crate::policy::engine::{Started, Work};

use super::event::Event;
use super::{CONNECT_US, START_US, World, deadline_ms};

/// The whole of the bound.
const WHOLE_SHARE: f64 = 1.0;

impl World<'_> {
    /// The request reaches the server, if it is up.
    pub(super) fn enter(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        self.pending[request as usize].placed_on = server;
        self.routers[turn.router].note_sent(server);
        if !self.engines[server].is_up {
            self.give_back(request);
            self.routers[turn.router].note_closed(server);
            return self.try_later(request, CONNECT_US);
        }
        let limit = self.true_limit(WHOLE_SHARE);
        let source = self.pending[request as usize].import_from;
        let import_tokens = source.map_or(0, |source| self.engines[source].exports(turn.chat));
        let work = Work {
            request,
            chat: turn.chat,
            workspace: turn.workspace,
            prefix_tokens: turn.prefix_tokens,
            prompt_tokens: turn.prompt_tokens,
            answer_tokens: turn.answer_tokens,
            priority: u8::from(!turn.is_urgent),
            import_tokens,
        };
        let started = self.engines[server].enter(work, self.now_us);
        self.measures.bound_breaches += u64::from(self.engines[server].in_flight() > limit);
        self.note_started(server, started);
    }

    pub(super) fn note_started(&mut self, server: usize, started: Option<Started>) {
        let Some(started) = started else { return };
        let pending = &mut self.pending[started.request as usize];
        pending.cached_tokens = started.cached_tokens;
        pending.first_token_us = pending.first_token_us.min(started.first_token_us);
        self.gathered.imported_tokens += u64::from(started.imported_tokens);
        let incarnation = self.engines[server].incarnation;
        let turn = self.turn(started.request);
        let prompt_tokens = turn.prompt_tokens;
        self.replacement
            .note_start(turn.chat, prompt_tokens, started.cached_tokens);
        self.gathered
            .note_start(self.now_us, prompt_tokens, started.cached_tokens);
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
        self.note_started(server, started);
        self.give_back(request);
        self.note_answer(request, server);
        if self.engines[server].is_leaving && self.engines[server].in_flight() == 0 {
            self.engines[server].is_up = false;
        }
    }

    pub(super) fn note_answer(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        let pending = &self.pending[request as usize];
        let waited_us = pending.first_token_us - (START_US + turn.at_us);
        let first_token_ms = waited_us as f64 / 1_000.0;
        self.gathered.first_token_ms.push(first_token_ms);
        let deadline_ms = deadline_ms(turn.is_urgent);
        if first_token_ms > deadline_ms {
            self.measures.late += 1;
            let failed = turn.is_urgent && pending.had_room;
            self.measures.urgent_failed_with_room += u64::from(failed);
        }
        let hint = WarmHint {
            server: self.ids[server],
            incarnation: self.engines[server].incarnation,
            tokens: turn.prompt_tokens + turn.answer_tokens,
            age_ms: 0,
        };
        let now_ms = self.now_ms();
        self.values.insert(turn.chat, hint);
        self.replacement.note_answer(turn.chat, turn.router);
        if self.scenario.sticky {
            self.routers[turn.router].remember(turn.chat, hint, now_ms);
        }
    }

    /// Gives the slot of a request back.
    pub(super) fn give_back(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let server = pending.placed_on;
        let router = &mut self.routers[turn.router];
        router.note_ended(server);
        let Some(reservation) = pending.reservation.take() else {
            return;
        };
        router.end(reservation);
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
            server: self.ids[server],
            reservation,
            in_flight: in_flight as u16,
        };
        self.meter.count(&release);
        self.meter.count_reply_to_release();
        if self.cut[turn.router][steward] == 0 {
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
