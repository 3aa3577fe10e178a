//! What a router on its planned stop still passes on, and its answers to what cannot end before it does.

use std::future::{Future, pending};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use sapphiretrack_routing::{StopPhase, StopTimes};
use tokio::time::sleep;

use crate::answer::AnswerBody;
use crate::attempt::AttemptFailure;
use crate::attempts::Attempts;
use crate::clock::Clock;
use crate::final_answer::final_answer;
use crate::job::Job;
use crate::shared::Shared;

/// The reason for which a stopping router refuses a request.
pub(crate) const LEAVING: &str = "leaving";

/// The timing of this router's planned stop.
pub(crate) fn stop_times(shared: &Shared) -> StopTimes {
    StopTimes {
        grace_ms: shared.settings().grace_ms,
    }
}

/// The phase of the planned stop; none if it has not begun.
pub(crate) fn stop_phase(shared: &Shared) -> Option<StopPhase> {
    let activity = &shared.activity;
    let since_ms = activity.leaving_for_ms()?;
    Some(stop_times(shared).phase(since_ms, activity.unfinished(), activity.quiet_ms()))
}

/// Waits until a request that has not been passed on can no longer be, because a planned stop has begun and
/// the request could outlast it.
pub(crate) async fn until_too_late(shared: &Shared, expires_ms: u64) {
    let since_ms = shared.activity.stop_begun().await;
    let left_ms = expires_ms.saturating_sub(Clock.now_ms());
    wait_for(stop_times(shared).wait_ms(since_ms, left_ms, left_ms)).await;
}

async fn wait_for(wait_ms: Option<u64>) {
    match wait_ms {
        Some(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
        None => pending().await,
    }
}

/// Answers a request at the latest when a planned stop ends, while the answer can still be written.
pub(crate) async fn answer_before_end<Run>(job: Arc<Job>, run: Run) -> Response<AnswerBody>
where
    Run: Future<Output = Response<AnswerBody>>,
{
    tokio::select! {
        biased;
        answer = run => answer,
        () = until_end(&job.shared) => job.stopped_answer(),
    }
}

async fn until_end(shared: &Shared) {
    let since_ms = shared.activity.stop_begun().await;
    let left_ms = stop_times(shared).end_ms().saturating_sub(since_ms);
    sleep(Duration::from_millis(left_ms)).await;
}

impl Job {
    /// Whether a planned stop leaves enough time to pass the request on. One that may have run would fail
    /// without a repeat, so it is repeated if there is time for a usual answer.
    pub(crate) fn may_be_passed_on(&self) -> bool {
        let Some(since_ms) = self.shared.activity.leaving_for_ms() else {
            return true;
        };
        stop_times(&self.shared).may_pass_on(since_ms, self.needed_ms())
    }

    /// Waits until [`Job::may_be_passed_on`] no longer holds.
    pub(crate) async fn until_too_late(&self) {
        let since_ms = self.shared.activity.stop_begun().await;
        let times = stop_times(&self.shared);
        wait_for(times.wait_ms(since_ms, self.left_ms(), self.needed_ms())).await;
    }

    /// The time that the request needs at a server to end for certain, or usually if it may have run.
    fn needed_ms(&self) -> u64 {
        match self.may_have_run.load(Ordering::Relaxed) {
            true => self.left_ms().min(self.route.objective_ms),
            false => self.left_ms(),
        }
    }

    /// The answer to a request that has none when the planned stop ends.
    fn stopped_answer(&self) -> Response<AnswerBody> {
        let mut attempts = Attempts::before(self.hop);
        let failure = match self.may_have_run.load(Ordering::Relaxed) {
            true => {
                attempts.offers = attempts.offers.max(1);
                attempts.possible_runs = attempts.possible_runs.max(1);
                AttemptFailure::TimedOut("router-stopped")
            }
            false => AttemptFailure::NotSent(LEAVING),
        };
        final_answer(self, &mut attempts, failure, None)
    }
}
