//! Concurrency windows of servers with few slots, and the time that requests take there.

use crate::{EndedRequest, SlotOutcome};

/// The number of requests that may be assigned to a server at once.
#[derive(Clone, Debug)]
pub(crate) struct SlotWindow {
    slots: u32,
    size: f64,
    /// Until when further refusals do not lower the window: they answer requests that were assigned
    /// before it was lowered.
    reduced_until_ms: u64,
}

impl SlotWindow {
    /// Part of the slots by which the window exceeds them at first, since messages take time.
    const INITIAL_MARGIN: f64 = 0.25;
    /// Change of the window by one answer that states free slots.
    const RAISE: f64 = 0.25;
    /// Change of the window by one answer that states waiting requests.
    const LOWER: f64 = 0.25;
    /// Factor on the window after a refusal for lack of room.
    const REFUSAL_FACTOR: f64 = 2.0 / 3.0;
    /// Bounds of the window, as multiples of the slots. With work of 15 ms and one-way delays of 5.4 ms
    /// a slot is occupied for 37 ms, so that a window of twice the slots uses 0.82 of them.
    const MIN_FACTOR: f64 = 0.5;
    const MAX_FACTOR: f64 = 3.0;
    /// Number of stated waiting requests from which the window is lowered. One is the reserve that
    /// keeps the slots busy while messages are under way.
    const LOWERING_WAITING: u16 = 2;

    pub(crate) fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            size: f64::from(slots) * (1.0 + Self::INITIAL_MARGIN),
            reduced_until_ms: 0,
        }
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of requests that may be assigned at once.
    pub(crate) fn size(&self) -> u32 {
        self.size as u32
    }

    /// Follows what an answer states. `cycle_ms` is the time from a grant to the release of its slot.
    pub(crate) fn record(
        &mut self,
        ended: &EndedRequest,
        has_queue: bool,
        cycle_ms: f64,
        now_ms: u64,
    ) {
        if ended.outcome == SlotOutcome::Refused {
            // A server with an idle slot refuses for another reason, such as too little time left.
            let has_room = ended
                .stated
                .is_some_and(|(running, waiting)| waiting == 0 && u32::from(running) < self.slots);
            if !has_room && now_ms >= self.reduced_until_ms {
                self.size *= Self::REFUSAL_FACTOR;
                self.reduced_until_ms = now_ms + cycle_ms as u64;
            }
        } else if let Some((running, waiting)) = ended.stated {
            // Nothing waits for the slot that the answer leaves. Whether the stated running requests
            // include the answered one depends on the server, so all slots may be stated as running.
            let is_slot_idle = waiting == 0 && u32::from(running) <= self.slots;
            if waiting >= Self::LOWERING_WAITING {
                self.size -= Self::LOWER;
            } else if has_queue && is_slot_idle {
                self.size += Self::RAISE;
            }
        }
        let slots = f64::from(self.slots);
        let min = (slots * Self::MIN_FACTOR).max(1.0);
        self.size = self.size.clamp(min, slots * Self::MAX_FACTOR);
    }
}

/// A running mean and mean deviation of times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeEstimate {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl TimeEstimate {
    /// Number of samples over which the mean is taken.
    const MAX_SAMPLES: u32 = 32;
    /// Bound of one sample, as a multiple of the mean, so that single outliers do not stop admission.
    const MAX_FACTOR: f64 = 8.0;

    pub(crate) fn new(default_ms: f64) -> Self {
        Self {
            mean_ms: default_ms.max(1.0),
            deviation_ms: 0.0,
            samples: 0,
        }
    }

    pub(crate) fn record(&mut self, sample_ms: f64) {
        let sample_ms = sample_ms.clamp(1.0, self.mean_ms * Self::MAX_FACTOR);
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        let error_ms = sample_ms - self.mean_ms;
        self.mean_ms += error_ms * weight;
        if self.samples > 1 {
            self.deviation_ms += (error_ms.abs() - self.deviation_ms) * weight;
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.samples > 0
    }

    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    pub(crate) fn deviation_ms(&self) -> f64 {
        self.deviation_ms
    }
}
