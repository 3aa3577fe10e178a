//! Decides which backend servers may get a request at all, by what this router knows.

use std::collections::HashSet;
use std::sync::Arc;

use arc_swap::Guard;
use sapphiretrack_routing::{
    EligibilityView, EvacuatedZones, Exclusion, Incarnation, ServerEntry, SoftwareVersion,
};

use crate::clock::Clock;
use crate::cold_servers::ColdView;
use crate::placement::{PlacementError, PlacementRequest};
use crate::settings::RouterSettings;
use crate::shared::Shared;

/// What decides about the servers of one service for one request.
pub(crate) struct EligibilityCheck<'a> {
    shared: &'a Shared,
    request: PlacementRequest<'a>,
    evacuated: Guard<Arc<EvacuatedZones>>,
    settings: Guard<Arc<RouterSettings>>,
    /// The versions at which the request may not begin a stream.
    uncleared: HashSet<SoftwareVersion>,
    now_ms: u64,
    /// The cold servers; none if there are none.
    cold: Option<ColdView<'a>>,
}

/// The servers of a service that may get a request.
pub(crate) struct EligibleServers {
    /// All that may get it now.
    pub(crate) servers: Vec<Arc<ServerEntry>>,
    /// Those of them that are cold.
    pub(crate) cold: HashSet<Incarnation>,
    /// Those that may not get it now.
    pub(crate) others: Vec<Arc<ServerEntry>>,
    /// Why the others may not get it; the last reason that applies.
    last_exclusion: Option<Exclusion>,
    /// The time until a cold server may get it, if there are any.
    cold_wait_ms: Option<u64>,
    /// The time until the first pause of a server ends, if there are any.
    pause_wait_ms: Option<u64>,
}

impl<'a> EligibilityCheck<'a> {
    pub(crate) fn new(shared: &'a Shared, request: PlacementRequest<'a>) -> Self {
        Self {
            shared,
            request,
            evacuated: shared.evacuations.zones(),
            settings: shared.settings(),
            uncleared: match request.begins_stream {
                true => shared
                    .stream_origins
                    .stored
                    .excluded(shared, &request.service.name),
                false => HashSet::new(),
            },
            now_ms: Clock.now_ms(),
            cold: shared.cold_servers.view(shared, request.service),
        }
    }

    /// Whether nothing is known that excludes any server.
    pub(crate) fn allows_all(&self) -> bool {
        self.cold.is_none()
            && !self.shared.stated_availability.may_exclude_any(self.now_ms)
            && self.evacuated.is_empty()
            && self.uncleared.is_empty()
            && !(self.request.begins_stream
                && self.shared.stream_origins.incarnations.has_any_restarted())
            && self.request.required_software.is_none()
            && self
                .request
                .allowed_regions
                .iter()
                .all(|list| list.is_empty())
            && self.shared.ended_servers.servers().is_empty()
    }

    /// Why a server may not get the request like any other server; none if it may.
    fn exclusion(&self, server: &ServerEntry) -> Option<Exclusion> {
        let incarnation = server.incarnation;
        let incarnations = &self.shared.stream_origins.incarnations;
        let needs_version = self.request.required_software.is_some() || self.request.begins_stream;
        // The version that it runs now is not known.
        if needs_version && incarnations.has_restarted(incarnation) {
            return Some(match self.request.required_software {
                Some(_) => Exclusion::OtherVersion,
                None => Exclusion::UnclearedVersion,
            });
        }
        let cold = self.cold.as_ref();
        let stated = &self.shared.stated_availability;
        let view = EligibilityView {
            required_software: self.request.required_software,
            uncleared: &self.uncleared,
            evacuated: &self.evacuated,
            allowed_regions: self.request.allowed_regions,
            region: self.settings.regions.get(&server.zone).map(String::as_str),
            has_ended: self.shared.ended_servers.servers().is_replaced(incarnation),
            is_leaving: stated.is_leaving(incarnation),
            is_paused: stated.pause_left_ms(incarnation, self.now_ms).is_some(),
            is_cold: cold.is_some_and(|cold| cold.is_cold(incarnation)),
        };
        view.exclusion(server)
    }

    /// Why the request must not be sent to a server now; none if it may be sent. Counts it if the
    /// server is cold.
    pub(crate) fn exclusion_at_send(mut self, server: &ServerEntry) -> Option<Exclusion> {
        if self.request.required_software.is_some() && self.is_listed_at_other_version(server) {
            return Some(Exclusion::OtherVersion);
        }
        let exclusion = self.exclusion(server)?;
        let cold = self.cold.as_mut();
        let is_sent = exclusion == Exclusion::Cold
            && cold.is_some_and(|cold| cold.try_send(server.incarnation));
        (!is_sent).then_some(exclusion)
    }

    /// Whether a server is listed at another version than when it was chosen: it has started again under
    /// its id.
    fn is_listed_at_other_version(&self, server: &ServerEntry) -> bool {
        let services = self.shared.servers.load();
        let listed = services.get(&server.service);
        let mut listed = listed.into_iter().flatten();
        let newest = listed.find(|one| one.id == server.id);
        newest.is_some_and(|newest| newest.software_version != server.software_version)
    }

    /// Selects the servers that may get the request now.
    pub(crate) fn into_eligible(mut self, listed: &[Arc<ServerEntry>]) -> EligibleServers {
        let mut eligible = EligibleServers {
            servers: Vec::with_capacity(listed.len()),
            cold: HashSet::new(),
            others: Vec::new(),
            last_exclusion: None,
            cold_wait_ms: None,
            pause_wait_ms: None,
        };
        let mut waiting = Vec::new();
        for server in listed {
            let exclusion = self.exclusion(server);
            // Why a server of the right version may not get the request says more than that others have
            // another one.
            if exclusion != Some(Exclusion::OtherVersion) || eligible.last_exclusion.is_none() {
                eligible.last_exclusion = exclusion.or(eligible.last_exclusion);
            }
            if exclusion == Some(Exclusion::Paused) {
                let stated = &self.shared.stated_availability;
                let left_ms = stated.pause_left_ms(server.incarnation, self.now_ms);
                let waits_ms = eligible.pause_wait_ms.into_iter().chain(left_ms);
                eligible.pause_wait_ms = waits_ms.min();
            }
            let cold = self.cold.as_mut();
            let cold = cold.filter(|_| exclusion == Some(Exclusion::Cold));
            match cold.map(|cold| cold.is_due(server.incarnation)) {
                Some(true) => {
                    eligible.cold.insert(server.incarnation);
                    eligible.servers.push(server.clone());
                }
                Some(false) => {
                    waiting.push(server);
                    eligible.others.push(server.clone());
                }
                None if exclusion.is_none() => eligible.servers.push(server.clone()),
                None => eligible.others.push(server.clone()),
            }
        }
        if let Some(cold) = &mut self.cold
            && !waiting.is_empty()
        {
            let waiting = waiting.into_iter().map(|server| &**server);
            eligible.cold_wait_ms = Some(cold.wait_ms(waiting));
        }
        eligible
    }
}

/// Why this router must not send a server a question of its own, such as which prefixes it has
/// cached; none if it may.
pub(crate) fn exclusion_of_probe(shared: &Shared, server: &ServerEntry) -> Option<Exclusion> {
    let stated = &shared.stated_availability;
    let incarnation = server.incarnation;
    let view = EligibilityView {
        required_software: None,
        uncleared: &HashSet::new(),
        evacuated: &shared.evacuations.zones(),
        allowed_regions: [&[], &[]],
        region: None,
        has_ended: shared.ended_servers.servers().is_replaced(incarnation),
        is_leaving: stated.is_leaving(incarnation),
        is_paused: stated.pause_left_ms(incarnation, Clock.now_ms()).is_some(),
        is_cold: false,
    };
    view.exclusion(server)
}

impl EligibleServers {
    /// Why no server may get the request.
    pub(crate) fn error(&self) -> PlacementError {
        match (self.cold_wait_ms, self.pause_wait_ms, self.last_exclusion) {
            (Some(cold_ms), Some(pause_ms), _) if pause_ms < cold_ms => {
                PlacementError::OnlyPaused(pause_ms)
            }
            (Some(cold_ms), _, _) => PlacementError::OnlyCold(cold_ms),
            (None, Some(pause_ms), _) => PlacementError::OnlyPaused(pause_ms),
            (None, None, Some(exclusion)) => PlacementError::Excluded(exclusion),
            (None, None, None) => PlacementError::NoneListed,
        }
    }
}
