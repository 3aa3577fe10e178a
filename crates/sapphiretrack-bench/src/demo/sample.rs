//! Samples how far the busiest engine sits above the mean.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sapphiretrack_fakes::FakeEngine;

/// How often the engines' loads are read.
const PERIOD: Duration = Duration::from_millis(50);
/// Below this many requests an engine a ratio says little and is left out.
const MIN_MEAN_REQUESTS: f64 = 2.0;

/// The busiest engine over the mean.
pub(crate) struct Skew {
    pub(crate) average: f64,
    pub(crate) p99: f64,
}

/// Reads engines' loads until it is dropped.
pub(crate) struct Sampler {
    engines: Arc<Mutex<Vec<FakeEngine>>>,
    ratios: Arc<Mutex<Vec<f64>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Sampler {
    /// Starts with these engines.
    pub(crate) fn start(engines: &[FakeEngine]) -> Self {
        let engines = Arc::new(Mutex::new(engines.to_vec()));
        let ratios = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(sample(engines.clone(), ratios.clone()));
        Self {
            engines,
            ratios,
            task,
        }
    }

    /// Changes the engines.
    pub(crate) fn set_engines(&self, engines: impl Into<Vec<FakeEngine>>) {
        *self.engines.lock().unwrap_or_else(PoisonError::into_inner) = engines.into();
    }

    /// The skew so far.
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

async fn sample(engines: Arc<Mutex<Vec<FakeEngine>>>, ratios: Arc<Mutex<Vec<f64>>>) {
    loop {
        tokio::time::sleep(PERIOD).await;
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
