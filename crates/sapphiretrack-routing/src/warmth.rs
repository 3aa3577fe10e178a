//! Which prompt parts this router has lately sent to which server.

use std::collections::HashMap;

use crate::{Incarnation, PromptPart};

/// A bounded memory of sent parts.
#[derive(Clone, Debug, Default)]
pub struct WarmParts {
    sent_ms: HashMap<(Incarnation, u64), u64>,
}

impl WarmParts {
    /// How long a part is believed to stay in a server's cache after its last use. Servers drop
    /// the least recently used parts; half a minute holds on a server that is not overfull.
    const KEEP_MS: u64 = 30_000;
    /// The most entries, at 40 bytes each 0.8 MB.
    const MAX_ENTRIES: usize = 20_000;

    /// Notes that a prompt was sent to a server.
    pub fn note_sent(&mut self, server: Incarnation, parts: &[PromptPart], now_ms: u64) {
        if self.sent_ms.len() + parts.len() > Self::MAX_ENTRIES {
            self.forget_older(now_ms);
        }
        for part in parts {
            self.sent_ms.insert((server, part.id), now_ms);
        }
    }

    /// How many of a prompt's tokens a server is believed to hold: a part only counts if all
    /// parts before it do.
    pub fn cached_tokens(&self, server: Incarnation, parts: &[PromptPart], now_ms: u64) -> u32 {
        let is_cached = |part: &&PromptPart| {
            let sent = self.sent_ms.get(&(server, part.id));
            sent.is_some_and(|sent| now_ms < sent + Self::KEEP_MS)
        };
        let cached = parts.iter().take_while(is_cached);
        cached.map(|part| part.tokens).sum()
    }

    fn forget_older(&mut self, now_ms: u64) {
        self.sent_ms
            .retain(|_, sent| now_ms < *sent + Self::KEEP_MS);
        if self.sent_ms.len() * 2 > Self::MAX_ENTRIES {
            self.sent_ms
                .retain(|_, sent| now_ms < *sent + Self::KEEP_MS / 4);
        }
        if self.sent_ms.len() * 2 > Self::MAX_ENTRIES {
            self.sent_ms.clear();
        }
    }
}
