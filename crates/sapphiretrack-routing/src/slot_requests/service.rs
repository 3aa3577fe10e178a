//! The requests of one service that wait for or hold slots.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::{SlotDecision, SlotRequests};
use crate::{EndedRequest, HeldSlot, Incarnation, SlotReply, SlotUpdate, WaitingRequest};

/// The requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRequests {
    /// Recipient of the updates.
    pub(super) scheduler: Option<SocketAddr>,
    pub(super) waiting: BTreeMap<u64, Waiting>,
    pub(super) held: BTreeMap<u64, HeldSlot>,
    pub(super) ended: Vec<Ended>,
    /// Whether an update must be sent immediately.
    is_due: bool,
    /// Recent updates to the current scheduler, oldest first.
    sent: VecDeque<SentUpdate>,
    /// The newest update of which an answer arrived.
    answered: u64,
    /// Answers to updates before this one are too old to contain valid grants.
    first_valid: u64,
    pub(super) last_sequence: u64,
    last_sent_ms: u64,
    /// The scheduler's silence counts from here at the earliest.
    judged_from_ms: u64,
    /// When a request last entered or ended.
    changed_ms: u64,
    /// Schedulers that did not answer.
    silent: Vec<SilentScheduler>,
}

/// A scheduler that did not answer.
#[derive(Clone, Copy, Debug)]
struct SilentScheduler {
    address: SocketAddr,
    /// Time for which it is not asked.
    skip_ms: u64,
    /// When that time ends.
    until_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: WaitingRequest,
    pub(super) entered_ms: u64,
    /// Latest time at which the request is known not to have been granted; `None` before it is
    /// listed in an update. The age of a grant counts from there: a reply may repeat a grant, or may
    /// have been in the socket's buffer while this router was suspended.
    pub(super) ungranted_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) request: EndedRequest,
    pub(super) ended_ms: u64,
    /// The first update to the current scheduler that contains it.
    pub(super) first_sequence: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct SentUpdate {
    sequence: u64,
    sent_ms: u64,
    has_waiting: bool,
}

impl ServiceRequests {
    pub(super) fn note_change(&mut self, now_ms: u64) {
        self.is_due = true;
        self.changed_ms = now_ms;
    }

    pub(super) fn record_reply(
        &mut self,
        reply: &SlotReply,
        now_ms: u64,
    ) -> Vec<(u64, SlotDecision)> {
        let scheduler = self.scheduler;
        self.silent.retain(|one| Some(one.address) != scheduler);
        let has_unlisted = self.waiting.len() > SlotRequests::MAX_LISTED;
        let mut decisions = Vec::new();
        for &(ticket, retry_after_ms) in &reply.refused {
            if self.waiting.remove(&ticket).is_some() {
                let decision = match retry_after_ms {
                    SlotReply::PLACE_UNSCHEDULED_MS => SlotDecision::Unscheduled,
                    _ => SlotDecision::Refused {
                        retry_after_ms: u64::from(retry_after_ms),
                    },
                };
                decisions.push((ticket, decision));
            }
        }
        // A grant that a newer answer does not repeat was withdrawn.
        if reply.sequence >= self.answered.max(self.first_valid) {
            let granted = reply.granted.iter();
            let granted = granted
                .filter_map(|(ticket, server)| self.accept(*ticket, Incarnation(*server), now_ms));
            let granted: Vec<(u64, SlotDecision)> = granted.collect();
            decisions.extend(granted);
            self.note_ungranted(reply);
        }
        self.is_due |= has_unlisted && !decisions.is_empty();
        self.answered = self.answered.max(reply.sequence);
        let answered = self.answered;
        self.ended.retain(|ended| {
            ended
                .first_sequence
                .is_none_or(|sequence| sequence > answered)
        });
        decisions
    }

    /// Accepts a grant for a waiting request unless the grant may be too old.
    fn accept(
        &mut self,
        ticket: u64,
        server: Incarnation,
        now_ms: u64,
    ) -> Option<(u64, SlotDecision)> {
        let waiting = self.waiting.get(&ticket)?;
        let valid_until_ms = waiting.ungranted_ms? + SlotRequests::GRANT_VALID_MS;
        if now_ms >= valid_until_ms {
            return None;
        }
        let held = HeldSlot {
            ticket,
            server: server.0,
            workspace: waiting.request.workspace,
        };
        self.waiting.remove(&ticket);
        self.held.insert(ticket, held);
        let decision = SlotDecision::Granted {
            server,
            valid_until_ms,
        };
        Some((ticket, decision))
    }

    /// Records that the requests which a reply does not grant had no grant when the update was sent
    /// that it answers.
    fn note_ungranted(&mut self, reply: &SlotReply) {
        let mut updates = self.sent.iter();
        let Some(update) = updates.find(|update| update.sequence == reply.sequence) else {
            return;
        };
        let sent_ms = update.sent_ms;
        for (ticket, waiting) in &mut self.waiting {
            let is_granted = || reply.granted.iter().any(|(granted, _)| granted == ticket);
            if waiting.ungranted_ms.is_some_and(|ms| ms < sent_ms) && !is_granted() {
                waiting.ungranted_ms = Some(sent_ms);
            }
        }
    }

    /// Whether there is anything to tell a scheduler.
    pub(super) fn is_active(&self, now_ms: u64) -> bool {
        let is_ending = self.is_due || !self.ended.is_empty() || self.answered < self.last_sequence;
        !self.waiting.is_empty()
            || !self.held.is_empty()
            || is_ending && now_ms < self.changed_ms + SlotRequests::REPEAT_END_MS
    }

    /// Whether the state is still needed.
    pub(super) fn is_used(&self, now_ms: u64) -> bool {
        let mut silent = self.silent.iter();
        silent.any(|one| one.is_remembered(now_ms)) || self.is_active(now_ms)
    }

    /// The oldest unanswered update that lists waiting requests.
    fn oldest_unanswered(&self) -> Option<&SentUpdate> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut sent = self.sent.iter();
        sent.find(|update| update.has_waiting && update.sequence > self.answered)
    }

    /// When the scheduler counts as silent unless it answers; `None` if it owes no answer.
    fn silent_at_ms(&self) -> Option<u64> {
        let since_ms = self.oldest_unanswered()?.sent_ms;
        Some(since_ms.max(self.judged_from_ms) + SlotRequests::SILENT_AFTER_MS)
    }

    /// Drops the scheduler if it is silent, and returns its address.
    pub(super) fn drop_silent(&mut self, now_ms: u64) -> Option<SocketAddr> {
        self.silent.retain(|one| one.is_remembered(now_ms));
        if self.was_paused(now_ms) {
            return None;
        }
        self.oldest_unanswered()?;
        if now_ms
            > self.last_sent_ms + SlotRequests::UNANSWERED_INTERVAL_MS + SlotRequests::MAX_DELAY_MS
        {
            self.judged_from_ms = now_ms;
        }
        if self
            .silent_at_ms()
            .is_none_or(|silent_ms| now_ms < silent_ms)
        {
            return None;
        }
        let scheduler = self.scheduler?;
        let known = self.silent.iter().position(|one| one.address == scheduler);
        let former_ms = known.map(|index| self.silent.swap_remove(index).skip_ms);
        let skip_ms = former_ms.map_or(SlotRequests::SKIP_SILENT_MS, |skip_ms| {
            (2 * skip_ms).min(SlotRequests::MAX_SKIP_SILENT_MS)
        });
        self.silent.push(SilentScheduler {
            address: scheduler,
            skip_ms,
            until_ms: now_ms + skip_ms,
        });
        Some(scheduler)
    }

    /// Schedulers that are not asked now.
    pub(super) fn skipped(&self, now_ms: u64) -> Vec<SocketAddr> {
        let silent = self.silent.iter();
        let skipped = silent.filter(|one| now_ms < one.until_ms);
        skipped.map(|one| one.address).collect()
    }

    /// Whether this router was paused while requests waited. The updates sent before then count as
    /// neither unanswered nor answerable.
    fn was_paused(&mut self, now_ms: u64) -> bool {
        let mut waiting = self.waiting.values();
        let has_listed = waiting.any(|waiting| waiting.ungranted_ms.is_some());
        let gap_ms = now_ms.saturating_sub(self.last_sent_ms);
        if !has_listed || gap_ms <= SlotRequests::INTERVAL_MS + SlotRequests::OWN_PAUSE_MS {
            return false;
        }
        self.forget_sent();
        self.is_due = true;
        if gap_ms >= SlotRequests::FORGOTTEN_MS {
            for waiting in self.waiting.values_mut() {
                waiting.ungranted_ms = None;
            }
        }
        true
    }

    pub(super) fn take_waiting(&mut self) -> impl Iterator<Item = u64> {
        std::mem::take(&mut self.waiting).into_keys()
    }

    fn forget_sent(&mut self) {
        self.sent.clear();
        self.answered = self.last_sequence;
        self.first_valid = self.last_sequence + 1;
    }

    /// What is held, as an update lists it.
    fn listed_held(&self) -> Vec<HeldSlot> {
        let held = self.held.values().take(SlotRequests::MAX_LISTED);
        held.copied().collect()
    }

    /// The last update to a scheduler that is replaced: what is held and has ended, but no waiting
    /// requests. Must be followed by [`set_scheduler`](Self::set_scheduler).
    pub(super) fn last_update(&mut self, sequence: u64) -> SlotUpdate {
        self.last_sequence = sequence;
        let ended = self.ended.iter().take(SlotRequests::MAX_LISTED);
        SlotUpdate {
            sequence,
            held: self.listed_held(),
            ended: ended.map(|ended| ended.request).collect(),
            ..SlotUpdate::default()
        }
    }

    pub(super) fn set_scheduler(&mut self, scheduler: Option<SocketAddr>) {
        self.scheduler = scheduler;
        self.forget_sent();
        self.is_due = true;
        for ended in &mut self.ended {
            ended.first_sequence = None;
        }
    }

    /// Waits for an interval before the next update, as there is no scheduler.
    pub(super) fn postpone(&mut self, now_ms: u64) {
        self.is_due = false;
        self.last_sent_ms = now_ms;
    }

    /// The time until the next update, if there is anything to tell.
    pub(super) fn due_in_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_due {
            return Some(0);
        }
        let interval_ms = match self.oldest_unanswered() {
            Some(_) => SlotRequests::UNANSWERED_INTERVAL_MS,
            None => SlotRequests::INTERVAL_MS,
        };
        let due_ms = self.last_sent_ms + interval_ms;
        self.is_active(now_ms)
            .then(|| due_ms.saturating_sub(now_ms))
    }

    pub(super) fn next_poll_ms(&self, now_ms: u64) -> Option<u64> {
        let silent_ms = self.silent_at_ms();
        let silent_ms = silent_ms.map(|silent_ms| silent_ms.saturating_sub(now_ms));
        self.due_in_ms(now_ms).into_iter().chain(silent_ms).min()
    }

    /// The complete state as an update, without the name of the service and the run.
    pub(super) fn update(&mut self, sequence: u64, now_ms: u64) -> SlotUpdate {
        self.ended
            .retain(|ended| now_ms < ended.ended_ms + SlotRequests::REPEAT_END_MS);
        for ended in self.ended.iter_mut().take(SlotRequests::MAX_LISTED) {
            ended.first_sequence.get_or_insert(sequence);
        }
        self.sent.retain(|update| {
            let is_recent = now_ms < update.sent_ms + SlotRequests::GRANT_VALID_MS;
            is_recent || update.has_waiting && update.sequence > self.answered
        });
        self.sent.push_back(SentUpdate {
            sequence,
            sent_ms: now_ms,
            has_waiting: !self.waiting.is_empty(),
        });
        self.is_due = false;
        self.last_sequence = sequence;
        self.last_sent_ms = now_ms;
        let waiting = self.waiting.values_mut().take(SlotRequests::MAX_LISTED);
        let ended = self.ended.iter().take(SlotRequests::MAX_LISTED);
        SlotUpdate {
            sequence,
            waiting: waiting.map(|waiting| waiting.list(now_ms)).collect(),
            held: self.listed_held(),
            ended: ended.map(|ended| ended.request).collect(),
            ..SlotUpdate::default()
        }
    }
}

impl SilentScheduler {
    /// Whether another silence counts as one in a row.
    fn is_remembered(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms + SlotRequests::MAX_SKIP_SILENT_MS
    }
}

impl Waiting {
    /// Returns the request as an update lists it, with the times that are left now.
    fn list(&mut self, now_ms: u64) -> WaitingRequest {
        self.ungranted_ms.get_or_insert(now_ms);
        let waited_ms = now_ms.saturating_sub(self.entered_ms);
        let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
        let request = &self.request;
        WaitingRequest {
            objective_left_ms: request.objective_left_ms.saturating_sub(waited_ms),
            left_ms: request.left_ms.saturating_sub(waited_ms),
            ..request.clone()
        }
    }
}
