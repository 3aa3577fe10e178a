//! Runs a load: starts a request for each arrival at its scheduled time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sapphiretrack_caller::CallerClient;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::load::arrivals::Arrivals;
use crate::load::entries::{AddressCache, KnownRouters};
use crate::load::history::RequestRecord;
use crate::load::request::Request;
use crate::load::settings::LoadSettings;
use crate::load::shared::{Shared, lock};
use crate::load::statistics::Statistics;

/// Interval between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// A load that can be run once.
pub struct Load {
    shared: Arc<Shared>,
}

/// The results of a load.
pub struct LoadOutcome {
    /// Counts and times by class.
    pub statistics: Statistics,
    /// All requests that have ended, with their attempts.
    pub history: Vec<RequestRecord>,
    /// Time from the start to the last answer.
    pub lasted: Duration,
}

impl Load {
    /// Creates a load against the known routers.
    pub fn new(settings: LoadSettings, known: &KnownRouters) -> Self {
        let address_caches = (0..settings.callers)
            .map(|caller| AddressCache::new(known.clone(), settings.zone.clone(), caller))
            .collect();
        Self {
            shared: Arc::new(Shared {
                address_caches,
                client: CallerClient::new(),
                statistics: Mutex::new(Statistics::new(&settings.classes)),
                history: Mutex::default(),
                warm: Mutex::default(),
                stopped: AtomicBool::new(false),
                settings,
            }),
        }
    }

    /// Returns a function that ends the arrivals. The load still waits for requests in flight.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let shared = self.shared.clone();
        move || shared.stopped.store(true, Ordering::Relaxed)
    }

    /// Starts a request for each arrival and waits until all have ended.
    pub async fn run(self) -> LoadOutcome {
        let started = Instant::now();
        let permits = Arc::new(Semaphore::new(self.shared.settings.max_in_flight));
        let progress = self
            .shared
            .settings
            .progress
            .then(|| tokio::spawn(write_progress(self.shared.clone(), started)));
        let mut requests = JoinSet::new();
        for arrival in Arrivals::new(&self.shared.settings) {
            let due = started + Duration::from_micros(arrival.at_us);
            tokio::time::sleep_until(due).await;
            if self.shared.stopped.load(Ordering::Relaxed) {
                break;
            }
            let request = Request {
                shared: self.shared.clone(),
                arrival,
                due,
            };
            requests.spawn(request.run(permits.clone()));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        if let Some(progress) = progress {
            progress.abort();
        }
        let history = std::mem::take(&mut *lock(&self.shared.history));
        LoadOutcome {
            statistics: lock(&self.shared.statistics).clone(),
            history,
            lasted: started.elapsed(),
        }
    }
}

async fn write_progress(shared: Arc<Shared>, started: Instant) {
    loop {
        tokio::time::sleep(PROGRESS_PERIOD).await;
        let line = {
            let statistics = lock(&shared.statistics);
            format!(
                "{:>5} s  sent {}  complete {}  violations {}",
                started.elapsed().as_secs(),
                statistics.sent(),
                statistics.whole(),
                statistics.violation_count,
            )
        };
        eprintln!("{line}");
    }
}
