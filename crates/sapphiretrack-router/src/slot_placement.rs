//! Obtains a slot for a request to a service whose slots a scheduler assigns, and places the request
//! on its server.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_core::WorkspaceKey;
use sapphiretrack_routing::{Incarnation, ServerEntry, SlotDecision, WaitingRequest};
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::clock::Clock;
use crate::eligible_servers::EligibilityCheck;
use crate::job::Job;
use crate::placement::{Placement, PlacementError, PlacementRequest, place};
use crate::planned_stop::LEAVING;
use crate::shared::Shared;
use crate::slot_scheduling::SlotGuard;

/// The state of an attempt's slot.
#[derive(Default)]
pub(crate) enum SlotState {
    /// It was not asked for, or the one that was granted cannot be used.
    #[default]
    NotAsked,
    /// The request has it.
    Granted(SlotGuard),
    /// The attempt needs none.
    NotNeeded,
}

impl SlotState {
    /// The slot, if the request has one.
    pub(crate) fn into_granted(self) -> Option<SlotGuard> {
        match self {
            Self::Granted(slot) => Some(slot),
            Self::NotAsked | Self::NotNeeded => None,
        }
    }
}

impl Job {
    /// Asks the service's scheduler for a slot and waits for its decision, at most until the deadline.
    /// Servers in `request.tried` and `unusable` are left out.
    pub(crate) async fn request_slot(
        &self,
        request: PlacementRequest<'_>,
        unusable: &[Incarnation],
    ) -> Result<SlotState, AttemptFailure> {
        let Some(excluded) = excluded_servers(&self.shared, request, unusable) else {
            return Ok(SlotState::NotNeeded);
        };
        let asked_ms = Clock.now_ms();
        let objective_ms = self.arrived_ms + self.route.objective_ms;
        let limited = |time_ms: u64| time_ms.min(u64::from(u32::MAX)) as u32;
        let left_ms = self.left_ms();
        let waiting = WaitingRequest {
            ticket: 0,
            workspace: WorkspaceKey::new("", self.tenant.as_deref().unwrap_or_default()).0,
            priority: self.priority,
            objective_left_ms: limited(objective_ms.saturating_sub(asked_ms)),
            left_ms: limited(left_ms),
            excluded,
        };
        let service = &request.service.name;
        let wait = self.shared.slot_scheduling.ask(service, waiting);
        let decision = timeout(Duration::from_millis(left_ms), wait.decision());
        let decision = tokio::select! {
            biased;
            decision = decision => Some(decision),
            () = self.until_too_late() => None,
        };
        let wait_ms = Clock.now_ms().saturating_sub(asked_ms);
        let (state, label) = match decision {
            None => (Err(AttemptFailure::NotSent(LEAVING)), LEAVING),
            Some(Ok((_, Some(guard)))) => (Ok(SlotState::Granted(guard)), "granted"),
            Some(Ok((SlotDecision::Refused { retry_after_ms }, None))) => {
                (Err(AttemptFailure::LineFull(retry_after_ms)), "refused")
            }
            Some(Ok((_, None))) => (Ok(SlotState::NotNeeded), "unscheduled"),
            Some(Err(_)) => (Err(AttemptFailure::NoTimeLeft), "expired"),
        };
        let metrics = &self.shared.metrics;
        metrics.observe_slot_decision(service, label, wait_ms);
        state
    }
}

/// Chooses a server for an attempt: the one whose slot it has, or any if it needs none.
pub(crate) fn place_with_slot(
    shared: &Arc<Shared>,
    request: PlacementRequest<'_>,
    slot: Option<SlotGuard>,
) -> Result<Placement, PlacementError> {
    let Some(slot) = slot else {
        return place(shared, request);
    };
    let services = shared.servers.load();
    let listed = services.get(&request.service.name);
    let servers = listed.map_or(0, Vec::len);
    let mut listed = listed.into_iter().flatten();
    let server = listed.find(|one| one.incarnation == slot.server());
    let server = server.ok_or(PlacementError::NoneListed)?;
    let eligible =
        EligibilityCheck::new(shared, request).into_eligible(std::slice::from_ref(server));
    if eligible.servers.is_empty() {
        return Err(eligible.error());
    }
    let load = slot_load(shared, server.incarnation);
    let mut placement = Placement::new(shared, server.clone(), request.facts, load);
    placement.servers = servers;
    placement.slot = Some(slot);
    Ok(placement)
}

/// The requests that a server holds, from all routers.
fn slot_load(shared: &Shared, server: Incarnation) -> u32 {
    let (peers, _) = shared.peer_loads.load().count(server.tag());
    let traffic = shared.traffic();
    let own = traffic.health.get(&server);
    peers + own.map_or(0, |health| health.in_flight)
}

/// The tags of the servers that a request must not be sent to; none if it may be sent to no server at
/// all, so that no scheduler can help it.
fn excluded_servers(
    shared: &Shared,
    request: PlacementRequest<'_>,
    unusable: &[Incarnation],
) -> Option<Vec<u32>> {
    let services = shared.servers.load();
    let listed = services.get(&request.service.name)?;
    let check = EligibilityCheck::new(shared, request);
    let eligible = check.into_eligible(listed).servers;
    let usable = eligible.iter().filter(|server| {
        let server = server.incarnation;
        !request.tried.contains(&server) && !unusable.contains(&server)
    });
    let usable: Vec<&Arc<ServerEntry>> = usable.collect();
    if usable.is_empty() {
        return None;
    }
    let paths = &shared.server_paths;
    let reached = usable.iter().copied();
    let reached = reached.filter(|server| paths.reachable_count(std::slice::from_ref(server)) > 0);
    let reached: Vec<&Arc<ServerEntry>> = reached.collect();
    // A server that is probably out of reach is used only if all of them are.
    let usable = match reached.is_empty() {
        true if !request.tries_unreachable => return None,
        true => usable,
        false => reached,
    };
    let sound = usable.iter().copied();
    let sound: Vec<&Arc<ServerEntry>> = sound.filter(|server| is_sound(shared, server)).collect();
    // Where requests take long at all servers, requests need slots as well: the placement without one
    // would send them to servers that have none. Only a repeated request, which may have run, is not
    // refused.
    let usable = match sound.is_empty() {
        true if !request.tried.is_empty() => return None,
        true => usable,
        false => sound,
    };
    let is_usable = |server: &&Arc<ServerEntry>| {
        usable
            .iter()
            .any(|one| one.incarnation == server.incarnation)
    };
    let excluded = listed.iter().filter(|server| !is_usable(server));
    let excluded = excluded.map(|server| server.incarnation);
    // The scheduler may list servers that this router does not.
    let rejected = request.tried.iter().chain(unusable).copied();
    let mut excluded: Vec<u32> = excluded.chain(rejected).map(Incarnation::tag).collect();
    excluded.sort_unstable();
    excluded.dedup();
    Some(excluded)
}

/// Whether a server has accepted connections lately, and makes progress.
fn is_sound(shared: &Shared, server: &Arc<ServerEntry>) -> bool {
    let now_ms = Clock.now_ms();
    let settings = shared.settings();
    let traffic = shared.traffic();
    let health = traffic.health.get(&server.incarnation);
    health.is_none_or(|health| {
        !health.is_unreachable(now_ms) && !health.is_unresponsive(&settings.health, now_ms)
    })
}

/// The servers of a service whose slots this router may assign as its scheduler, and their slots.
/// What only concerns the requests of single routers is left to these. Empty while this router must
/// not send requests itself because its list of servers or evacuations may be out of date.
pub(crate) fn schedulable_servers(shared: &Shared, service: &str) -> Vec<(Incarnation, u32)> {
    if !shared.servers_are_usable() || !shared.evacuations_are_usable() {
        return Vec::new();
    }
    let services = shared.servers.load();
    let Some(listed) = services.get(service) else {
        return Vec::new();
    };
    let now_ms = Clock.now_ms();
    let evacuated = shared.evacuations.zones();
    let valid_ms = shared.settings().attempts.reported_ms;
    let allowed = listed.iter().filter(|server| {
        let incarnation = server.incarnation;
        !evacuated.contains(&server.zone)
            && !shared.stated_availability.is_leaving(incarnation)
            && !shared.ended_servers.servers().is_replaced(incarnation)
    });
    let allowed: Vec<&Arc<ServerEntry>> = allowed.collect();
    let is_suspect = |server: &Arc<ServerEntry>| {
        let incarnation = server.incarnation;
        let has_crashed = shared.crash_evidence().has_crashed(incarnation.0, now_ms);
        let ended = shared.ended_servers.servers();
        has_crashed || ended.is_suspect(incarnation, valid_ms, now_ms)
    };
    let sound = allowed.iter().copied().filter(|server| !is_suspect(server));
    let sound: Vec<&Arc<ServerEntry>> = sound.collect();
    // Suspect servers are left out only while others remain. A request for which only suspect ones
    // remain is returned by the scheduler and placed by its router.
    let servers = match sound.is_empty() {
        true => allowed,
        false => sound,
    };
    let slots = |server: &&Arc<ServerEntry>| (server.incarnation, server.slots.max(1));
    servers.iter().map(slots).collect()
}
