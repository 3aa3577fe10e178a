//! How fast a service's engines read prompts, learned from first events.

use std::collections::HashMap;

/// How reading rates are learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSettings {
    /// Prompt tokens that an engine is believed to read in a millisecond before any was seen to.
    pub first_tokens_per_ms: f64,
    /// How far one observation moves the estimate; 0 learns nothing.
    pub step: f64,
}

impl Default for PrefillSettings {
    fn default() -> Self {
        Self {
            first_tokens_per_ms: 50.0,
            step: 0.3,
        }
    }
}

/// Reading rates by service.
///
/// A first event is late for many reasons: others are read before, the request waits for a slot, a
/// part has been dropped. It is never early. So the estimate follows the quicker ones among the
/// observations, not their mean.
#[derive(Clone, Debug, Default)]
pub struct PrefillRates {
    ms_per_token: HashMap<String, f64>,
}

impl PrefillRates {
    /// Tokens from which on the time to the first event is mostly reading.
    pub const MIN_TOKENS: u64 = 2_000;
    /// The share of observations that are quicker than the estimate.
    const QUICKER: f64 = 0.3;
    /// The slowest and the quickest rate that is believed.
    const TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 0.5..=5_000.0;

    /// Takes in that an engine that read nothing else had read so many tokens at the first event.
    pub fn note(
        &mut self,
        settings: &PrefillSettings,
        service: &str,
        tokens: u64,
        elapsed_ms: u64,
    ) {
        if tokens < Self::MIN_TOKENS || settings.step == 0.0 {
            return;
        }
        let seen = elapsed_ms.max(1) as f64 / tokens as f64;
        let Some(known) = self.ms_per_token.get_mut(service) else {
            self.ms_per_token.insert(service.to_owned(), seen);
            return;
        };
        *known *= match seen < *known {
            true => 1.0 - settings.step * (1.0 - Self::QUICKER),
            false => 1.0 + settings.step * Self::QUICKER,
        };
    }

    /// Prompt tokens that an engine of this service reads in a millisecond.
    pub fn tokens_per_ms(&self, settings: &PrefillSettings, service: &str) -> f64 {
        let known = self.ms_per_token.get(service);
        let learned = known.map(|ms_per_token| 1.0 / ms_per_token);
        let rate = learned.unwrap_or(settings.first_tokens_per_ms);
        rate.clamp(*Self::TOKENS_PER_MS.start(), *Self::TOKENS_PER_MS.end())
    }
}
