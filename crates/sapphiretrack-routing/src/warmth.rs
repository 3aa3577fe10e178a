//! Which prompt parts were lately sent to which server, by any router.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, PromptPart};

/// A prompt part that a router sent to a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentPart {
    /// The server's incarnation.
    pub server: u64,
    /// The part's id.
    pub part: u64,
}

/// A bounded memory of sent parts. Routers tell each other what they sent, so that all know
/// the holders of a part: one router alone sees each part too rarely to remember.
#[derive(Clone, Debug, Default)]
pub struct WarmParts {
    settings: WarmSettings,
    sent_ms: HashMap<(Incarnation, u64), u64>,
    untold: Vec<SentPart>,
    heat: HashMap<u64, Heat>,
    heat_slice: u64,
}

/// What is believed of servers' caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmSettings {
    /// How long a part is believed to stay in a server's cache after its last use.
    pub keep_ms: u64,
}

impl Default for WarmSettings {
    fn default() -> Self {
        Self { keep_ms: 30_000 }
    }
}

/// How often a part was sent lately, by all routers.
#[derive(Clone, Copy, Debug, Default)]
struct Heat {
    slice: u64,
    count: u32,
    before: u32,
}

impl WarmParts {
    /// The length of the slices in which sends are counted: long enough for beats to arrive and
    /// for a rate of one in two seconds to show.
    const HEAT_MS: u64 = 2_000;
    /// The most entries, at 40 bytes each 0.8 MB.
    const MAX_ENTRIES: usize = 20_000;
    /// The most parts that a beat tells: 1 KB.
    const PARTS_IN_BEAT: usize = 64;
    /// Parts in one datagram of an answer to a router that starts: 4 KB.
    pub const PARTS_IN_DATAGRAM: usize = 256;

    /// Believes by these settings from now on.
    pub fn set_settings(&mut self, settings: WarmSettings) {
        self.settings = settings;
    }

    /// Notes that this router sent a prompt to a server.
    pub fn note_sent(&mut self, server: Incarnation, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            self.note(server, part.id, now_ms);
            self.count(part.id, now_ms);
            // What is more than a beat can tell is only known here.
            if self.untold.len() < Self::PARTS_IN_BEAT {
                self.untold.push(SentPart {
                    server: server.0,
                    part: part.id,
                });
            }
        }
    }

    /// Notes what a router that was asked knows: who holds what, not what was sent now.
    pub fn note_holdings(&mut self, holdings: &[SentPart], now_ms: u64) {
        for part in holdings {
            self.note(Incarnation(part.server), part.part, now_ms);
        }
    }

    /// Notes what another router sent since its last beat.
    pub fn note_told(&mut self, sent: &[SentPart], now_ms: u64) {
        for part in sent {
            self.note(Incarnation(part.server), part.part, now_ms);
            self.count(part.part, now_ms);
        }
    }

    /// What was sent since this was last asked.
    pub fn take_untold(&mut self) -> Vec<SentPart> {
        std::mem::take(&mut self.untold)
    }

    /// The parts that were sent last, newest first, to tell a router that knows none.
    pub fn newest(&self, limit: usize, now_ms: u64) -> Vec<SentPart> {
        let young = self.sent_ms.iter();
        let young = young.filter(|(_, sent)| now_ms < **sent + self.settings.keep_ms);
        let mut parts: Vec<_> = young.collect();
        parts.sort_unstable_by_key(|(_, sent)| std::cmp::Reverse(**sent));
        let newest = parts.into_iter().take(limit);
        let sent = newest.map(|((server, part), _)| SentPart {
            server: server.0,
            part: *part,
        });
        sent.collect()
    }

    /// How many tokens of a prompt's shared parts a server is believed to hold. A later part
    /// cannot have been read without those before it.
    pub fn cached_tokens(&self, server: Incarnation, parts: &[PromptPart], now_ms: u64) -> u32 {
        let is_cached = |part: &PromptPart| {
            let sent = self.sent_ms.get(&(server, part.id));
            sent.is_some_and(|sent| now_ms < sent + self.settings.keep_ms)
        };
        let deepest = parts.iter().rposition(is_cached);
        let held = deepest.map_or(&[][..], |last| &parts[..=last]);
        held.iter().map(|part| part.tokens).sum()
    }

    /// How often a part is sent in a second, by all routers.
    pub fn sends_per_s(&self, part: u64, now_ms: u64) -> f64 {
        let Some(heat) = self.heat.get(&part) else {
            return 0.0;
        };
        let slice = now_ms / Self::HEAT_MS;
        let since_ms = (now_ms % Self::HEAT_MS) as f64;
        let (count, before) = match slice - heat.slice.min(slice) {
            0 => (heat.count, heat.before),
            1 => (0, heat.count),
            _ => return 0.0,
        };
        // The part of the slice before that still lies within one length.
        let kept = 1.0 - since_ms / Self::HEAT_MS as f64;
        let sends = f64::from(count) + f64::from(before) * kept;
        sends * 1_000.0 / Self::HEAT_MS as f64
    }

    fn count(&mut self, part: u64, now_ms: u64) {
        let slice = now_ms / Self::HEAT_MS;
        if slice != self.heat_slice {
            self.heat_slice = slice;
            self.heat.retain(|_, heat| heat.slice + 1 >= slice);
        }
        let heat = self.heat.entry(part).or_default();
        if heat.slice != slice {
            heat.before = if heat.slice + 1 == slice {
                heat.count
            } else {
                0
            };
            heat.slice = slice;
            heat.count = 0;
        }
        heat.count += 1;
    }

    fn note(&mut self, server: Incarnation, part: u64, now_ms: u64) {
        if self.sent_ms.len() >= Self::MAX_ENTRIES {
            self.forget_older(now_ms);
        }
        self.sent_ms.insert((server, part), now_ms);
    }

    fn forget_older(&mut self, now_ms: u64) {
        for keep_ms in [self.settings.keep_ms, self.settings.keep_ms / 4] {
            self.sent_ms.retain(|_, sent| now_ms < *sent + keep_ms);
            if self.sent_ms.len() * 2 <= Self::MAX_ENTRIES {
                return;
            }
        }
        self.sent_ms.clear();
    }
}
