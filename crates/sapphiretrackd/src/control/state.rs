//! The control state, and the commands that change it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sapphiretrack_core::{
    ConfigOffer, ConsentSettings, Contacts, EndedIncarnations, FleetConfig, Incarnation, KeyIndex,
    Ledger, LedgerSettings, LoadBound, LoadReport, PauseDetector, PeerRoster, PeerRosterSettings,
    ReservationId, Resignation, RosterChange, RouterId, RouterProfile, ServerId, ServerRoster,
    ServerRosterSettings, StewardBackoff, StewardBackoffSettings, StewardConsents, VmRecord,
    VmState, adopt_if_newer, hash_parts,
};
use sapphiretrack_peer::{PeerReply, PeerRequest, VmListReply};
use sapphiretrack_platform::wire::VmList;

use crate::control::budgets::Budgets;
use crate::control::heartbeats::{HeartbeatTracker, URGENT_ROUNDS};
use crate::control::load::LoadTracker;
use crate::control::slots::HeldSlot;
use crate::events::Event;

/// The identity of this router.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// The id, derived from the name.
    pub(crate) id: RouterId,
    /// Increases with each start of the router.
    pub(crate) incarnation: Incarnation,
    /// The name, zone and addresses.
    pub(crate) profile: RouterProfile,
}

/// Timeouts of the control state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// The silence after which a peer is dropped.
    pub(crate) dead_after_ms: u64,
    /// The time without platform and peers after which this router refuses new work.
    pub(crate) isolated_after_ms: u64,
    /// The age beyond which a load report is stale.
    pub(crate) report_stale_after_ms: u64,
}

/// The control state, owned by the control thread.
pub(crate) struct ControlState {
    pub(super) identity: Identity,
    pub(super) timing: Timing,
    pub(super) bound: LoadBound,
    pub(super) config: Arc<FleetConfig>,
    pub(super) keys: Arc<KeyIndex>,
    /// Whether a configuration was received from the platform, a peer or an operator. It may be
    /// empty.
    pub(super) config_known: bool,
    /// The platform's last list of VMs, sorted by name.
    pub(super) vm_list: Vec<VmRecord>,
    /// The hash of `vm_list`; 0 before the first list.
    pub(super) list_digest: u64,
    pub(super) peers: PeerRoster,
    pub(super) servers: ServerRoster,
    pub(super) ledger: Ledger,
    /// The stewards that this router consents to.
    pub(super) consents: StewardConsents,
    /// Incarnations of peers that are proven to have ended.
    pub(super) ended_incarnations: EndedIncarnations,
    /// Whether this router has resigned as steward because it is leaving.
    pub(super) resignation: Resignation,
    /// Stewards that get no slot requests for a short time because they did not reply or replied
    /// that they are not the steward.
    pub(super) steward_backoff: StewardBackoff,
    pub(super) load_tracker: LoadTracker,
    pub(super) budgets: Budgets,
    /// The slots that this router holds or has requested.
    pub(super) held_slots: BTreeMap<ReservationId, HeldSlot>,
    pub(super) next_reservation: u32,
    pub(super) heartbeat_tracker: HeartbeatTracker,
    /// Whether the planned stop has begun.
    pub(super) stopping: bool,
    /// Whether the list has shown this router as leaving while a live peer could take over.
    leaving_by_list: bool,
    /// Whether new work is refused because neither the platform nor any peer is reached.
    pub(super) isolated: bool,
    /// The routers that may be stewards.
    pub(super) stewards: Vec<RouterId>,
    /// Whether traffic threads need a new snapshot.
    pub(super) changed: bool,
    /// How many rounds of heartbeats are still to be sent without waiting for the heartbeat period.
    pub(super) urgent_rounds: u8,
    /// Addresses from the settings, used while no peer is seen.
    seeds: Vec<SocketAddr>,
    pause_detector: PauseDetector,
    platform_reached_ms: Option<u64>,
    platform_was_reached: bool,
    peers_were_seen: bool,
}

impl ControlState {
    /// The state of a router that has not received anything yet.
    pub(crate) fn new(
        identity: Identity,
        timing: Timing,
        bound: LoadBound,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let peer_settings = PeerRosterSettings {
            dead_after_ms: timing.dead_after_ms,
            damping: Default::default(),
        };
        let server_settings = ServerRosterSettings {
            report_stale_after_ms: timing.report_stale_after_ms,
            ..Default::default()
        };
        Self {
            ledger: Ledger::new(identity.id, ledger_settings(&timing)),
            consents: StewardConsents::new(ledger_settings(&timing).consent),
            ended_incarnations: EndedIncarnations::default(),
            resignation: Resignation::default(),
            steward_backoff: StewardBackoff::new(StewardBackoffSettings::default()),
            load_tracker: LoadTracker::default(),
            peers: PeerRoster::new(identity.id, peer_settings),
            servers: ServerRoster::new(server_settings),
            heartbeat_tracker: HeartbeatTracker::new(identity.incarnation),
            identity,
            timing,
            bound,
            config: Arc::default(),
            keys: Arc::default(),
            config_known: false,
            budgets: Budgets::default(),
            vm_list: Vec::new(),
            list_digest: 0,
            held_slots: BTreeMap::new(),
            next_reservation: 0,
            stopping: false,
            leaving_by_list: false,
            isolated: false,
            stewards: Vec::new(),
            changed: true,
            urgent_rounds: 0,
            seeds,
            pause_detector: PauseDetector::default(),
            platform_reached_ms: None,
            platform_was_reached: false,
            peers_were_seen: false,
        }
    }

    /// The id of this router.
    pub(crate) fn id(&self) -> RouterId {
        self.identity.id
    }

    /// The name of this router.
    pub(crate) fn name(&self) -> &str {
        &self.identity.profile.name
    }

    /// The incarnation of this router.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// The version of the configuration in force.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Applies the platform's list of VMs, read by this router or by a peer.
    pub(crate) fn apply_vm_list(&mut self, mut list: VmList, now_ms: u64) {
        list.vms.sort_by(|a, b| a.name.cmp(&b.name));
        let peers = self.peers.apply_list(&list.vms, now_ms);
        let servers = self.servers.apply_list(&list.vms, now_ms);
        self.handle_peer_changes(&peers);
        self.handle_server_changes(&servers);
        let mut others = self.peers.iter();
        let others_live = others.any(|(_, peer)| peer.state() == VmState::Live);
        if self.peers.is_listed_leaving() && others_live && !self.leaving_by_list {
            self.leaving_by_list = true;
            self.changed = true;
            self.urgent_rounds = URGENT_ROUNDS;
        }
        if list.vms != self.vm_list {
            let text = serde_json::to_vec(&list.vms).unwrap_or_default();
            self.list_digest = hash_parts(&[&text]);
            self.vm_list = list.vms;
            self.changed = true;
        }
    }

    /// Whether this router has no list of VMs yet and has to fetch it from a peer.
    pub(crate) fn lacks_vm_list(&self) -> bool {
        self.list_digest == 0
    }

    /// Records the time of a call to the platform that got a reply.
    pub(crate) fn record_platform_call(&mut self, reached: bool, now_ms: u64) {
        if reached {
            self.platform_reached_ms = Some(now_ms);
        }
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn offer_config(&mut self, offered: Arc<FleetConfig>) -> ConfigOffer {
        self.changed |= !self.config_known;
        self.config_known = true;
        let version = offered.version.to_string();
        let older = offered.version < self.config.version;
        let result = adopt_if_newer(&mut self.config, offered);
        match result {
            ConfigOffer::Adopted => {
                self.changed = true;
                self.keys = Arc::new(KeyIndex::new(&self.config));
                Event::CONFIG_IN_FORCE.log(&[("version", &version)]);
            }
            ConfigOffer::Ignored if older => {
                Event::OLDER_CONFIG_DROPPED.log(&[("version", &version)])
            }
            ConfigOffer::Ignored => {}
        }
        result
    }

    /// Applies the result of fetching a load report; none if the call failed.
    pub(crate) fn apply_load_report(
        &mut self,
        server: ServerId,
        report: Option<LoadReport>,
        now_ms: u64,
    ) {
        let before = self.visible_server_state(server, now_ms);
        if let Some(report) = &report {
            self.record_report_time(server, now_ms);
            let in_flight = report.running + report.queued;
            self.ledger.note_report(server, in_flight, now_ms);
        }
        let change = self.servers.apply_report(server, report, now_ms);
        self.handle_server_changes(change.as_slice());
        self.changed |= self.visible_server_state(server, now_ms) != before;
    }

    /// Marks a server's incarnation as leaving, after it refused a request for that reason or a
    /// peer reported it.
    pub(crate) fn mark_server_leaving(
        &mut self,
        server: ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) {
        let change = self.servers.note_leaving(server, incarnation, now_ms);
        self.handle_server_changes(change.as_slice());
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
        self.changed = true;
        self.urgent_rounds = URGENT_ROUNDS;
    }

    /// Handles a request from a peer.
    pub(crate) fn handle_peer_request(&mut self, request: PeerRequest, now_ms: u64) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                PeerReply::Heartbeat(self.handle_heartbeat(*heartbeat, now_ms))
            }
            PeerRequest::Reserve(request) => self.reserve_for_peer(&request, None, now_ms),
            PeerRequest::ReserveAgain {
                request,
                known_load,
            } => self.reserve_for_peer(&request, Some(known_load), now_ms),
            PeerRequest::Release {
                router,
                server,
                reservation,
                in_flight,
            } => {
                self.record_pool_load(router, server, in_flight, now_ms);
                self.changed = true;
                self.ledger.release(router, server, reservation);
                PeerReply::Released
            }
            PeerRequest::FetchConfig => self.full_config_reply(),
            PeerRequest::FetchConfigSince { version, change_id } => {
                self.config_changes_reply(version, &change_id)
            }
            PeerRequest::LeaseBudget(request) => {
                PeerReply::Budget(self.answer_budget_request(&request, now_ms))
            }
            // Warm chats are not part of the control state; they are handled before a request gets
            // here.
            PeerRequest::HandOver(_) => PeerReply::Unsupported,
            PeerRequest::FetchVmList => match serde_json::to_string(&self.vm_list) {
                Ok(vms_json) => PeerReply::VmList(VmListReply { vms_json }),
                Err(_) => PeerReply::Rejected,
            },
        }
    }

    /// Detects a pause of the control loop. Must be called in each iteration before any slot is
    /// granted.
    ///
    /// After a pause, another router may be the steward of this router's servers. This router
    /// grants nothing until its peers have seen a new heartbeat and sent the slots that they hold.
    pub(crate) fn detect_pause(&mut self, now_ms: u64) {
        let Some(gap_ms) = self.pause_detector.record_iteration(now_ms) else {
            return;
        };
        Event::CONTROL_THREAD_PAUSED.log(&[("gap_ms", &gap_ms.to_string())]);
        self.peers.reset_silence(now_ms);
        self.budgets
            .reset_after_pause(gap_ms, self.timing.dead_after_ms, now_ms);
        self.reset_ledger();
        self.urgent_rounds = URGENT_ROUNDS;
        self.tick(now_ms);
    }

    /// Updates everything that changes with time alone. Must be called often.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        let lost_peers = self.peers.tick(now_ms);
        self.handle_peer_changes(&lost_peers);
        let lost_servers = self.servers.tick(now_ms);
        self.handle_server_changes(&lost_servers);
        let has_resigned = self.resignation.has_resigned();
        let own = self.own_state();
        let stewards = self.peers.steward_candidates(own, has_resigned, now_ms);
        if stewards != self.stewards {
            self.stewards = stewards;
            self.changed = true;
            self.urgent_rounds = URGENT_ROUNDS;
        }
        self.update_resignation();
        self.update_joining_servers(now_ms);
        self.update_ledger(now_ms);
        self.budgets
            .update_stewards(self.identity.id, &self.stewards, now_ms);
        self.update_reachability(now_ms);
    }

    /// Whether heartbeats have to be sent at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent_rounds > 0
    }

    /// Whether a new snapshot is needed.
    pub(crate) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Counts a round of urgent heartbeats as sent.
    pub(crate) fn finish_urgent_round(&mut self) {
        self.urgent_rounds = self.urgent_rounds.saturating_sub(1);
    }

    /// Marks the state as unchanged since the snapshot that is taken now.
    pub(crate) fn clear_changed(&mut self) {
        self.changed = false;
    }

    /// Addresses from the settings, used while no peer is seen.
    pub(super) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Whether this router accepts new work. Leaving is final.
    pub(super) fn own_state(&self) -> VmState {
        if self.stopping || self.leaving_by_list {
            VmState::Leaving
        } else {
            VmState::Live
        }
    }

    /// Whether the platform was reached within `isolated_after_ms`.
    pub(super) fn platform_reached(&self, now_ms: u64) -> bool {
        let within_ms = self.timing.isolated_after_ms;
        self.contacts().platform_reached(within_ms, now_ms)
    }

    /// The state of a server that traffic threads see, to detect changes.
    pub(super) fn visible_server_state(
        &self,
        server: ServerId,
        now_ms: u64,
    ) -> Option<(LoadReport, Option<VmState>)> {
        let known = self.servers.get(server)?;
        Some((known.report, self.servers.state(server, now_ms)))
    }

    /// Logs changes of peers and requests urgent heartbeats.
    pub(super) fn handle_peer_changes(&mut self, changes: &[RosterChange]) {
        for change in changes {
            self.changed = true;
            self.urgent_rounds = URGENT_ROUNDS;
            match change {
                RosterChange::Joined(name) => Event::PEER_JOINED.log(&[("router", name)]),
                RosterChange::Leaving(name) => Event::PEER_LEAVING.log(&[("router", name)]),
                RosterChange::Lost(name) => Event::PEER_LOST.log(&[("router", name)]),
            }
        }
    }

    /// Logs changes of servers, and requests urgent heartbeats if one is leaving.
    pub(super) fn handle_server_changes(&mut self, changes: &[RosterChange]) {
        for change in changes {
            self.changed = true;
            match change {
                RosterChange::Joined(name) => Event::SERVER_JOINED.log(&[("server", name)]),
                RosterChange::Leaving(name) => {
                    self.urgent_rounds = URGENT_ROUNDS;
                    Event::SERVER_LEAVING.log(&[("server", name)]);
                }
                RosterChange::Lost(name) => Event::SERVER_LOST.log(&[("server", name)]),
            }
        }
    }

    fn contacts(&self) -> Contacts {
        Contacts {
            expects_others: self.peers.expects_others() || !self.seeds.is_empty(),
            peer_seen_ms: self.peers.seen_ms(),
            platform_reached_ms: self.platform_reached_ms,
        }
    }

    /// Updates whether the platform and peers are reached and whether this router is isolated.
    fn update_reachability(&mut self, now_ms: u64) {
        let contacts = self.contacts();
        let reached = contacts.platform_reached(self.timing.isolated_after_ms, now_ms);
        if reached != self.platform_was_reached {
            self.platform_was_reached = reached;
            self.changed = true;
        }
        let seen = self.peers_seen(now_ms);
        if seen != self.peers_were_seen {
            self.peers_were_seen = seen;
            self.changed = true;
        }
        let isolated = contacts.is_isolated(self.timing.isolated_after_ms, now_ms);
        if isolated != self.isolated {
            let event = if isolated {
                Event::ISOLATED
            } else {
                Event::ISOLATION_ENDED
            };
            event.log(&[("router", &self.identity.profile.name)]);
            self.isolated = isolated;
            self.changed = true;
        }
    }
}

/// The settings of the ledger: a consent is valid for as long as a silent peer counts as live.
pub(super) fn ledger_settings(timing: &Timing) -> LedgerSettings {
    LedgerSettings {
        consent: ConsentSettings {
            consent_ms: timing.dead_after_ms,
            ..ConsentSettings::default()
        },
        ..LedgerSettings::default()
    }
}
