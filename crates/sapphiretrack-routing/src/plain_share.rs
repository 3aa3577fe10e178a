//! Keeps part of the queues of plain servers free from workspaces that ask for more than their share.

use crate::Candidate;
use crate::placement::accepted_share;
use crate::workspace_demand::WorkspaceDemand;

/// How much of the queues is kept free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainShareSettings {
    /// Fraction of the limit on workspaces above their share that is applied; 0: there is no limit.
    pub strength: f64,
}

impl Default for PlainShareSettings {
    fn default() -> Self {
        Self { strength: 1.0 }
    }
}

/// The demand of the workspaces at one plain service, as one router sees it.
///
/// It uses no messages: all routers see samples of the same demand and apply the same limit.
#[derive(Clone, Debug, Default)]
pub struct PlainShare {
    demand: WorkspaceDemand,
}

impl PlainShare {
    /// Work of a request. Plain requests of a service take similar times; the unit keeps a workspace
    /// in the comparison for seven time constants after a request.
    const REQUEST_WORK: u32 = 1_000;
    /// Part of the queue places that workspaces above their share do not use.
    const WITHHELD_PART: f64 = 0.5;
    /// Smallest part of the requests of a workspace above its share that is placed like those of the
    /// others. Without it such a workspace would get nothing while the others alone fill the slots.
    const MIN_ADMITTED: f64 = 1.0 / 16.0;
    /// Power of the share of accepted slots with which they are admitted, beyond that of the others.
    const EXTRA_POWER: f64 = 2.0;

    /// Records a request of a workspace. Returns whether the workspace asks for more than its share.
    /// Each request is recorded once, whether or not it is served: what is refused is part of the
    /// demand, and further attempts for a request are not.
    pub fn record(&mut self, workspace: u64, now_ms: u64) -> bool {
        self.demand.record(workspace, Self::REQUEST_WORK, now_ms)
    }

    /// Returns whether a request of a workspace above its share may be placed on one of these servers.
    /// If load counts are recent, it limits the capacity of the servers for this request as long as a sound
    /// one has room then. If they are outdated, or if none has, `draw`, a random number below 1, decides.
    /// Servers that accept no requests at all are left to placement, which refuses them to everyone.
    pub fn admits(
        settings: PlainShareSettings,
        candidates: &mut [Candidate],
        has_outdated_loads: bool,
        draw: f64,
    ) -> bool {
        match has_outdated_loads {
            true => Self::admits_by_chance(settings, candidates, draw),
            false => Self::limit_capacity(settings, candidates, draw),
        }
    }

    fn limit_capacity(
        settings: PlainShareSettings,
        candidates: &mut [Candidate],
        draw: f64,
    ) -> bool {
        // A suspect server has room because it makes no progress.
        let sound = candidates.iter().filter(|one| !one.tried && !one.suspect);
        let had_room = sound.clone().any(|one| one.in_flight < one.capacity);
        let limit = |one: &Candidate| Self::limited_capacity(settings, one) as u32;
        let has_room = sound.clone().any(|one| one.in_flight < limit(one));
        if has_room {
            for one in candidates {
                one.capacity = limit(one);
            }
        }
        has_room || !had_room || draw < Self::MIN_ADMITTED
    }

    fn admits_by_chance(settings: PlainShareSettings, candidates: &[Candidate], draw: f64) -> bool {
        let untried = candidates.iter().filter(|one| !one.tried);
        let held: f64 = untried.clone().map(|one| one.average_in_flight).sum();
        let limit: f64 = untried
            .map(|one| Self::limited_capacity(settings, one))
            .sum();
        let share = accepted_share(candidates);
        let admitted = share.powf(Self::EXTRA_POWER * settings.strength);
        held <= limit || share <= 0.0 || draw < admitted.max(Self::MIN_ADMITTED)
    }

    /// Requests that a server may hold for a workspace above its share to get another one there.
    fn limited_capacity(settings: PlainShareSettings, candidate: &Candidate) -> f64 {
        let queue = candidate.capacity.saturating_sub(candidate.slots);
        let withheld = f64::from(queue) * Self::WITHHELD_PART * settings.strength;
        f64::from(candidate.capacity) - withheld
    }
}
