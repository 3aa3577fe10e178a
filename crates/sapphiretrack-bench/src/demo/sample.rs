//! Samples the ratio of the busiest engine's load to the mean load of all engines.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sapphiretrack_fakes::FakeEngine;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples with a lower mean of requests per engine are discarded: with so few requests, the
/// ratio depends mostly on chance.
const MIN_MEAN_REQUESTS: f64 = 2.0;

/// Ratio of the busiest engine's running and queued requests to the mean of all engines.
pub(crate) struct Skew {
    pub(crate) average: f64,
    pub(crate) p99: f64,
}

/// Samples the engines' loads in a background task until it is dropped.
pub(crate) struct Sampler {
    engines: Arc<Mutex<Vec<FakeEngine>>>,
    ratios: Arc<Mutex<Vec<f64>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Sampler {
    /// Starts to sample these engines.
    pub(crate) fn start(engines: &[FakeEngine]) -> Self {
        let engines = Arc::new(Mutex::new(engines.to_vec()));
        let ratios = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(sample_loads(engines.clone(), ratios.clone()));
        Self {
            engines,
            ratios,
            task,
        }
    }

    /// Replaces the sampled engines.
    pub(crate) fn set_engines(&self, engines: impl Into<Vec<FakeEngine>>) {
        *self.engines.lock().unwrap_or_else(PoisonError::into_inner) = engines.into();
    }

    /// Returns the skew over all samples so far; 0 without samples.
    pub(crate) fn skew(&self) -> Skew {
        let mut ratios = self
            .ratios
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        ratios.sort_by(f64::total_cmp);
        let average = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        let index = (ratios.len() * 99 / 100).min(ratios.len().saturating_sub(1));
        Skew {
            average,
            p99: ratios.get(index).copied().unwrap_or(0.0),
        }
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn sample_loads(engines: Arc<Mutex<Vec<FakeEngine>>>, ratios: Arc<Mutex<Vec<f64>>>) {
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let engines = engines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let loads: Vec<f64> = engines
            .iter()
            .map(|engine| {
                let load = engine.load();
                f64::from(load.running + load.queued)
            })
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean >= MIN_MEAN_REQUESTS {
            let busiest = loads.iter().copied().fold(0.0, f64::max);
            ratios
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(busiest / mean);
        }
    }
}
