//! Limits on the requests that are placed: by workspace at plain services, and by what engines hold.

use rand::RngExt;
use sapphiretrack_core::WorkspaceKey;
use sapphiretrack_routing::{AdmissionRank, EngineAdmission, EngineLoad};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::placement::{PlacementError, PlacementRequest};
use crate::settings::RouterSettings;
use crate::traffic::Traffic;

/// Whether a request's workspace asks for more than its share of a plain service. A request counts
/// once, at its first placement: refused ones are part of the demand, repeated attempts are not.
/// Requests that were tried before or go on with a stream are not limited, since servers may have
/// worked on them.
pub(crate) fn is_over_plain_share(
    traffic: &mut Traffic,
    settings: &RouterSettings,
    request: PlacementRequest<'_>,
    now_ms: u64,
) -> bool {
    let service = request.service;
    if service.is_engine || !is_first_attempt(request) || settings.plain_share.strength <= 0.0 {
        return false;
    }
    *request.is_over_share.get_or_init(|| {
        let workspace = WorkspaceKey::new("", request.tenant.unwrap_or_default()).0;
        let share = traffic.plain_shares.entry(service.name.clone());
        share.or_default().record(workspace, now_ms)
    })
}

/// The limit of a request's service at this router; none if its requests are not limited by first events.
fn engine_admission<'a>(
    traffic: &'a mut Traffic,
    settings: &RouterSettings,
    request: PlacementRequest<'_>,
) -> Option<&'a mut EngineAdmission> {
    let service = request.service;
    let is_limited = service.is_engine && settings.engine_admission.slow_objectives > 0.0;
    let admissions = &mut traffic.engine_admissions;
    is_limited.then(|| admissions.entry(service.name.clone()).or_default())
}

/// Whether servers have not worked on a request yet.
fn is_first_attempt(request: PlacementRequest<'_>) -> bool {
    request.tried.is_empty() && request.facts.resume_after.is_none()
}

/// Records that all engines which may get a request are full.
pub(crate) fn record_full_engines(
    traffic: &mut Traffic,
    settings: &RouterSettings,
    request: PlacementRequest<'_>,
) {
    let admission = engine_admission(traffic, settings, request);
    if let Some(admission) = admission.filter(|_| is_first_attempt(request)) {
        let now_ms = Clock.now_ms();
        admission.count_overdue(now_ms);
        admission.record_full(now_ms);
    }
}

/// Fails if the engines of a service have no room for a request, by the time that first events take.
/// Requests that were tried before or go on with a stream are always admitted: engines have worked
/// on them already. Returns whether the engine is to rank the request as one of a workspace above its
/// share.
pub(crate) fn admit_at_engines(
    traffic: &mut Traffic,
    settings: &RouterSettings,
    request: PlacementRequest<'_>,
    mean_in_flight: f64,
) -> Result<bool, PlacementError> {
    let service = request.service;
    let Some(admission) = engine_admission(traffic, settings, request) else {
        return Ok(false);
    };
    let now_ms = Clock.now_ms();
    admission.count_overdue(now_ms);
    let is_first = is_first_attempt(request);
    let workspace = WorkspaceKey::new("", request.tenant.unwrap_or_default()).0;
    // The work of a later attempt has been counted with the first one, perhaps by another router.
    let is_over_share = match is_first {
        true => {
            let work = request.facts.engine_work(service.memory_tokens);
            admission.record_demand(workspace, work, now_ms)
        }
        false => admission.is_over_share(workspace, now_ms),
    };
    let rank = AdmissionRank {
        priority: request.priority,
        is_over_share,
    };
    let load = EngineLoad {
        mean_in_flight,
        slots: service.slots,
    };
    if !is_first || admission.admits(load, rank, rand::rng().random()) {
        return Ok(rank.is_over_share && admission.is_refusing(now_ms));
    }
    if admission.record_refused(now_ms) {
        note!(
            Event::ENGINES_BEHIND,
            service = service.name,
            mean_in_flight = mean_in_flight,
            slots = service.slots,
            share = admission.share(),
        );
    }
    Err(PlacementError::EnginesBehind)
}
