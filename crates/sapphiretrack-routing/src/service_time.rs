//! How long a plain service's servers take, learned from answers.

use std::collections::HashMap;

use crate::Incarnation;

/// How service times are learned and used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimeSettings {
    /// The weight of the newest answer; 0 learns nothing.
    pub weight: f64,
    /// The part of a request's objective within which it must be answered to be let into a queue.
    pub objective_part: f64,
    /// How fast what is known of a server that gets nothing moves to its service's mean: its half-life.
    pub forget_half_life_ms: u64,
}

impl Default for ServiceTimeSettings {
    fn default() -> Self {
        Self {
            weight: 0.1,
            objective_part: 1.0,
            forget_half_life_ms: 3_000,
        }
    }
}

/// Service times by server, with the mean of their service for those that are not known.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    services: HashMap<String, ClippedMean>,
    servers: HashMap<Incarnation, ClippedMean>,
}

/// One answer of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest {
    /// The server.
    pub server: Incarnation,
    /// From the send to the answer.
    pub elapsed_ms: u64,
    /// Requests that were believed there before it.
    pub ahead: u32,
    /// Requests that the server works on at once.
    pub slots: u32,
}

/// A mean that a single outlier cannot spoil.
#[derive(Clone, Copy, Debug, Default)]
struct ClippedMean {
    mean_ms: f64,
    samples: u32,
    updated_ms: u64,
}

impl ServiceTimes {
    /// Answers of a service from which on its mean is believed.
    const MIN_SAMPLES: u32 = 8;

    /// Takes in an answer. What it waited behind others is taken off by the load it met.
    pub fn note(
        &mut self,
        settings: &ServiceTimeSettings,
        service: &str,
        served: ServedRequest,
        now_ms: u64,
    ) {
        let rounds = 1.0 + waves_ahead(served.ahead, served.slots);
        let sample_ms = served.elapsed_ms as f64 / rounds;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ClippedMean::default());
        }
        if let Some(mean) = self.services.get_mut(service) {
            mean.note(settings.weight, sample_ms, now_ms);
        }
        let known = self.service_ms(settings, service, served.server, now_ms);
        let server = self.servers.entry(served.server).or_default();
        if let Some(known_ms) = known {
            server.mean_ms = known_ms;
            server.samples = server.samples.max(1);
        }
        server.note(settings.weight, sample_ms, now_ms);
    }

    /// How long a server takes for a request that does not wait; none while too little is known.
    pub fn service_ms(
        &self,
        settings: &ServiceTimeSettings,
        service: &str,
        server: Incarnation,
        now_ms: u64,
    ) -> Option<f64> {
        let service = self.services.get(service)?;
        if service.samples < Self::MIN_SAMPLES || settings.weight == 0.0 {
            return None;
        }
        let Some(known) = self.servers.get(&server) else {
            return Some(service.mean_ms);
        };
        let idle_ms = now_ms.saturating_sub(known.updated_ms) as f64;
        let half_lives = idle_ms / settings.forget_half_life_ms.max(1) as f64;
        let kept = 0.5_f64.powf(half_lives);
        Some(service.mean_ms + (known.mean_ms - service.mean_ms) * kept)
    }

    /// The mean of a service's servers; none while too little is known.
    pub fn mean_ms(&self, service: &str) -> Option<f64> {
        let service = self.services.get(service)?;
        (service.samples >= Self::MIN_SAMPLES).then_some(service.mean_ms)
    }

    /// Forgets servers that are not listed any more.
    pub fn keep_listed<Listed>(&mut self, is_listed: Listed)
    where
        Listed: Fn(Incarnation) -> bool,
    {
        self.servers.retain(|server, _| is_listed(*server));
    }
}

impl ClippedMean {
    /// How far a sample may lie from the mean, as a factor.
    const CLIP: f64 = 4.0;

    fn note(&mut self, weight: f64, sample_ms: f64, now_ms: u64) {
        if self.samples == 0 {
            self.mean_ms = sample_ms;
        } else {
            let clipped = sample_ms.clamp(self.mean_ms / Self::CLIP, self.mean_ms * Self::CLIP);
            self.mean_ms += weight * (clipped - self.mean_ms);
        }
        self.samples = self.samples.saturating_add(1);
        self.updated_ms = now_ms;
    }
}

/// Service times that a request waits behind so many others.
pub fn waves_ahead(ahead: u32, slots: u32) -> f64 {
    let slots = slots.max(1);
    f64::from((ahead + 1).saturating_sub(slots)) / f64::from(slots)
}

/// The most requests that a server may hold so that the last of them is still answered within its
/// objective; its slots at least.
pub fn useful_queue(
    settings: &ServiceTimeSettings,
    slots: u32,
    service_ms: f64,
    objective_ms: u64,
) -> u32 {
    let room_ms = objective_ms as f64 * settings.objective_part - service_ms;
    let waves = (room_ms / service_ms.max(1.0)).max(0.0);
    slots.saturating_add((f64::from(slots) * waves) as u32)
}
