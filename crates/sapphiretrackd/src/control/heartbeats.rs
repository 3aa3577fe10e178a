//! Heartbeats to peers and from peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sapphiretrack_core::{
    HeartbeatResult, HeldSlots, Incarnation, PeerHeartbeat, ReservationId, RouterId, ServerId,
    ServerSighting, VmState,
};
use sapphiretrack_peer::{Heartbeat, HeartbeatReply, InFlight, Section, ServerState};

use crate::control::ControlState;

/// How many rounds of heartbeats are sent at once after a change. One is not enough: the slots that
/// a peer holds count only once the new steward is the steward in its own view, which may be just
/// after the first round.
pub(super) const URGENT_ROUNDS: u8 = 3;

/// Requests in flight by server.
type Counts = BTreeMap<ServerId, u16>;

/// A heartbeat to send.
pub(crate) struct OutgoingHeartbeat {
    /// The peer; none for a seed address whose router is not known yet.
    pub(crate) router: Option<RouterId>,
    /// Its newest known incarnation; 0 for none.
    pub(crate) incarnation: Incarnation,
    /// Where to send it.
    pub(crate) address: SocketAddr,
    /// The heartbeat.
    pub(crate) heartbeat: Heartbeat,
}

/// What was sent to and received from each peer, so that heartbeats carry only changed counts.
pub(super) struct HeartbeatTracker {
    sequence: u64,
    /// The slots in a heartbeat are ignored if its sender had not seen this sequence number: they
    /// may date from before a restart or a pause.
    valid_from: u64,
    sent: BTreeMap<RouterId, SentHeartbeat>,
    /// The requests in flight that each peer reported.
    pub(super) in_flight: BTreeMap<RouterId, Counts>,
    /// The digest of each peer's list of VMs.
    list_digests: BTreeMap<RouterId, u64>,
}

/// The last heartbeat sent to a peer.
#[derive(Default)]
struct SentHeartbeat {
    sequence: u64,
    answered: bool,
    has_profile: bool,
    counts: Counts,
}

impl HeartbeatTracker {
    /// Starts the sequence numbers at the incarnation, so that they increase across restarts.
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            sequence: incarnation,
            valid_from: incarnation + 1,
            sent: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            list_digests: BTreeMap::new(),
        }
    }

    /// Ignores the slots in heartbeats until their senders have seen a later heartbeat of this
    /// router.
    pub(super) fn invalidate_earlier(&mut self) {
        self.valid_from = self.sequence + 1;
    }

    /// The counts to send to a peer, and whether it has this router's profile. Only changes are
    /// sent if the peer answered the previous heartbeat.
    fn in_flight_for(&mut self, router: RouterId, counts: &Counts) -> (InFlight, bool) {
        let sent = self.sent.entry(router).or_default();
        let is_complete = !sent.answered;
        let has_profile = sent.has_profile;
        let counts_to_send = if is_complete {
            counts
                .iter()
                .map(|(server, count)| (*server, *count))
                .collect()
        } else {
            changed_counts(&sent.counts, counts)
        };
        *sent = SentHeartbeat {
            sequence: self.sequence,
            answered: false,
            has_profile,
            counts: counts.clone(),
        };
        let in_flight = InFlight {
            whole: is_complete,
            counts: counts_to_send,
        };
        (in_flight, has_profile)
    }

    /// Updates the counts of a peer with those of its heartbeat.
    fn merge_counts(&mut self, router: RouterId, received: &InFlight) {
        let known = self.in_flight.entry(router).or_default();
        if received.whole {
            known.clear();
        }
        for (server, count) in &received.counts {
            if *count == 0 {
                known.remove(server);
            } else {
                known.insert(*server, *count);
            }
        }
    }
}

/// The counts that differ; servers that are no longer counted get 0.
fn changed_counts(before: &Counts, now: &Counts) -> Vec<(ServerId, u16)> {
    let ended = before
        .keys()
        .filter(|server| !now.contains_key(server))
        .map(|server| (*server, 0));
    let changed = now
        .iter()
        .filter(|(server, count)| before.get(server) != Some(count))
        .map(|(server, count)| (*server, *count));
    ended.chain(changed).collect()
}

impl ControlState {
    /// Starts a round: the next heartbeat for each peer. While no peer is seen, the seed addresses
    /// get one as well.
    pub(crate) fn next_heartbeats(&mut self, now_ms: u64) -> Vec<OutgoingHeartbeat> {
        self.heartbeat_tracker.sequence += 1;
        if self.own_state() == VmState::Leaving {
            self.resignation
                .note_leaving(self.heartbeat_tracker.sequence);
        }
        let targets = self.peers.targets();
        let sightings = self.own_sightings(now_ms);
        let counts = self.own_in_flight_counts();
        let mut outgoing = Vec::with_capacity(targets.len());
        for (router, address) in targets {
            let (in_flight, has_profile) = self.heartbeat_tracker.in_flight_for(router, &counts);
            let mut heartbeat = self.base_heartbeat(&sightings, now_ms);
            heartbeat.in_flight = in_flight;
            self.consents.note_sent(router, now_ms);
            heartbeat.held = self.held_slots_for(router);
            heartbeat.seen_sequence = self.peers.seen_sequence(router);
            if !has_profile {
                heartbeat.profile = Some(Box::new(self.identity.profile.clone()));
            }
            outgoing.push(OutgoingHeartbeat {
                router: Some(router),
                incarnation: self.peers.known_incarnation(router),
                address,
                heartbeat,
            });
        }
        if self.peers.iter().next().is_none() {
            outgoing.extend(self.seed_heartbeats(&sightings, now_ms));
        }
        outgoing
    }

    /// Handles a heartbeat of a peer.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) -> HeartbeatReply {
        let router = heartbeat.router;
        let summary = PeerHeartbeat {
            router,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            state: heartbeat.state,
            has_resigned: heartbeat.has_resigned(),
            config_version: heartbeat.config_version,
            profile: heartbeat.profile.as_deref().cloned(),
        };
        let incarnation_before = self.peers.known_incarnation(router);
        let version_before = self.peers.get(router).map(|peer| peer.config_version);
        let result = self.peers.apply_heartbeat(&summary, now_ms);
        if let HeartbeatResult::Accepted { change } = &result {
            self.handle_peer_changes(change.as_slice());
            self.ended_incarnations
                .note_seen(router, heartbeat.incarnation);
            self.resignation.note_seen(router, heartbeat.seen_sequence);
            let is_other_incarnation = heartbeat.incarnation != incarnation_before;
            let has_stopped_granting = heartbeat.has_resigned() || is_other_incarnation;
            let has_released = has_stopped_granting && self.release_consents(router);
            if change.is_some() || has_released {
                // Before the held slots are read: this change may make this router steward of the
                // servers that they belong to.
                self.tick(now_ms);
            }
            self.changed |= version_before != Some(heartbeat.config_version);
            self.steward_backoff.note_seen(router);
            self.apply_heartbeat(&heartbeat, now_ms);
        }
        HeartbeatReply {
            config_version: self.config.version,
            wants_whole: result == HeartbeatResult::NeedsProfile,
            known_incarnation: self.peers.known_incarnation(router),
            introduced: if heartbeat.profile.is_some() {
                self.introductions(router)
            } else {
                Vec::new()
            },
        }
    }

    /// Handles the reply of a known peer to a heartbeat.
    pub(crate) fn handle_heartbeat_reply(
        &mut self,
        router: RouterId,
        sequence: u64,
        reply: &HeartbeatReply,
        now_ms: u64,
    ) {
        // Without a new snapshot the status would show the old version until another change.
        self.changed |= self.peers.note_answer(router, reply.config_version, now_ms);
        self.peers.introduce(&reply.introduced);
        if let Some(sent) = self.heartbeat_tracker.sent.get_mut(&router) {
            if reply.wants_whole {
                *sent = SentHeartbeat::default();
            } else if sent.sequence == sequence {
                sent.answered = true;
                sent.has_profile = true;
            }
        }
        if reply.known_incarnation > self.identity.incarnation {
            // This VM's clock was set back since its last start. Peers accept its heartbeats only
            // under a higher incarnation.
            self.identity.incarnation = reply.known_incarnation + 1;
            self.heartbeat_tracker.sequence = self
                .heartbeat_tracker
                .sequence
                .max(self.identity.incarnation);
            // Peers that saw the old incarnation treat the change as a restart of this router.
            self.reset_ledger();
            self.urgent_rounds = URGENT_ROUNDS;
        }
    }

    /// Adds the peers that a router at a seed address introduces.
    pub(crate) fn add_introduced_peers(&mut self, reply: &HeartbeatReply) {
        self.peers.introduce(&reply.introduced);
    }

    /// Whether the list of VMs of any peer differs from this router's.
    pub(crate) fn vm_lists_differ(&self) -> bool {
        self.peers.iter().any(|(router, _)| {
            let digest = self
                .heartbeat_tracker
                .list_digests
                .get(&router)
                .copied()
                .unwrap_or(0);
            digest != 0 && digest != self.list_digest
        })
    }

    /// The addresses of all peers except `router`.
    fn introductions(&self, router: RouterId) -> Vec<(RouterId, SocketAddr)> {
        let others = self.peers.iter().filter(|(peer, _)| *peer != router);
        others
            .map(|(peer, known)| (peer, known.profile.peer_address))
            .collect()
    }

    /// Applies the slots, loads and signals of a heartbeat that was accepted.
    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let router = heartbeat.router;
        if heartbeat.seen_sequence >= self.heartbeat_tracker.valid_from {
            self.ledger.reconcile(router, &heartbeat.held, now_ms);
        }
        let in_flight = &heartbeat.in_flight;
        self.changed |= in_flight.whole || !in_flight.counts.is_empty();
        self.heartbeat_tracker.merge_counts(router, in_flight);
        self.record_peer_loads(router, now_ms);
        self.heartbeat_tracker
            .list_digests
            .insert(router, heartbeat.list_digest);
        for state in &heartbeat.servers {
            let before = self.visible_server_state(state.server, now_ms);
            let sighting = ServerSighting {
                server: state.server,
                state: state.state,
                reachable: state.reachable,
                report: state.report,
            };
            self.record_report_time(state.server, now_ms);
            let change = self.servers.merge_sighting(&sighting, now_ms);
            self.handle_server_changes(change.as_slice());
            self.changed |= self.visible_server_state(state.server, now_ms) != before;
        }
        // Heartbeats are sent at once to verify suspects: a router that has ended refuses the
        // connection.
        self.urgent_rounds = self.urgent_rounds.max(u8::from(
            heartbeat
                .suspects
                .iter()
                .any(|suspect| self.peers.get(*suspect).is_some()),
        ));
        for (server, incarnation) in &heartbeat.leaving_servers {
            self.mark_server_leaving(*server, *incarnation, now_ms);
        }
    }

    /// The fields of a heartbeat that are the same for all receivers.
    fn base_heartbeat(&self, sightings: &[ServerState], now_ms: u64) -> Heartbeat {
        Heartbeat {
            router: self.identity.id,
            incarnation: self.identity.incarnation,
            sequence: self.heartbeat_tracker.sequence,
            seen_sequence: 0,
            state: self.own_state(),
            config_version: self.config.version,
            profile: None,
            in_flight: InFlight::default(),
            servers: sightings.to_vec(),
            held: HeldSlots::default(),
            leaving_servers: self.servers.new_marks(now_ms),
            list_digest: self.list_digest,
            suspects: self.peers.recently_lost(now_ms),
            sections: self.sections(),
        }
    }

    fn sections(&self) -> Vec<Section> {
        let has_resigned = self.resignation.has_resigned();
        has_resigned.then(Section::resigned).into_iter().collect()
    }

    /// Heartbeats to the seed addresses, whose replies introduce the first peers.
    fn seed_heartbeats(&self, sightings: &[ServerState], now_ms: u64) -> Vec<OutgoingHeartbeat> {
        let seeds = self.seeds().iter();
        let heartbeats = seeds.map(|address| {
            let mut heartbeat = self.base_heartbeat(sightings, now_ms);
            heartbeat.profile = Some(Box::new(self.identity.profile.clone()));
            heartbeat.in_flight.whole = true;
            OutgoingHeartbeat {
                router: None,
                incarnation: 0,
                address: *address,
                heartbeat,
            }
        });
        heartbeats.collect()
    }

    /// The state of the servers that this router is steward of.
    fn own_sightings(&self, now_ms: u64) -> Vec<ServerState> {
        self.stewarded_servers()
            .into_iter()
            .filter_map(|server| self.servers.sighting(server, now_ms))
            .map(|sighting| ServerState {
                server: sighting.server,
                state: sighting.state,
                reachable: sighting.reachable,
                report: sighting.report,
            })
            .collect()
    }

    /// This router's requests in flight by server, granted slots only.
    fn own_in_flight_counts(&self) -> Counts {
        let mut counts = Counts::new();
        for held in self.held_slots.values().filter(|held| held.is_granted) {
            let count = counts.entry(held.server).or_default();
            *count = count.saturating_add(1);
        }
        counts
    }

    /// The slots that this router holds or has requested on the servers whose steward it consents
    /// to be `router`. Listing a server, even without slots, conveys that consent.
    pub(super) fn held_slots_for(&self, router: RouterId) -> HeldSlots {
        let mut by_server: BTreeMap<ServerId, Vec<ReservationId>> = self
            .servers
            .iter()
            .map(|(server, _)| server)
            .filter(|server| self.consents.consent(*server) == Some(router))
            .map(|server| (server, Vec::new()))
            .collect();
        for (reservation, held) in &self.held_slots {
            if let Some(reservations) = by_server.get_mut(&held.server) {
                reservations.push(*reservation);
            }
        }
        HeldSlots {
            next_reservation: self.next_reservation,
            by_server: by_server.into_iter().collect(),
        }
    }
}
