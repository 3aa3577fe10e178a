//! Messages between routers: heartbeats, adverts of the store's listings, loads, prompt prefixes,
//! crash records and slots, as datagrams that may be lost.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use sapphiretrack_routing::{
    BroadcastPlan, ChangesFragment, Heartbeat, HeartbeatPace, ListingAdvert, PrefixIndex,
    PrefixReplyLimiter, RouterMessage, SentPrompts, ServerChange,
};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::crashes::{merge_crash_reports, merge_peer_crashes};
use crate::events::{Event, note};
use crate::shared::Shared;
use crate::slot_scheduling::SlotMessage;

/// The most routers that one heartbeat is sent to. In a larger fleet heartbeats go to successive
/// groups of routers, so that a router's cost does not grow with the fleet.
const HEARTBEATS_AT_ONCE: usize = 24;
/// The most prefixes that are sent to a router that starts. One that is left out only costs a
/// server a second prefill.
const MAX_SENT_PREFIXES: usize = 16_384;
/// The size of the receive buffer, which holds the longest possible UDP datagram.
const MAX_RECEIVED_BYTES: usize = 64 * 1024;
/// The most bytes of server changes in one message.
const MAX_CHANGES_BYTES: usize = 16 * 1024;
/// The most reports of cold servers in one message.
const MAX_COLD_REPORTS: usize = 256;
/// The number of relays in each other availability zone for an urgent message, which cannot wait
/// for the next one if a datagram is lost.
const URGENT_COPIES: usize = 2;

/// Plans the direct recipients and the relays of a message to all routers.
fn broadcast_plan(shared: &Shared, turn: usize, copies: usize) -> BroadcastPlan {
    let settings = shared.settings();
    let peers = shared.peers();
    let known = peers.recipients(Clock.now_ms()).into_iter();
    let others = known.filter(|one| one.address != settings.peer_address);
    BroadcastPlan::new(&settings.zone, others, turn, copies)
}

/// Sends this router's heartbeats until the process ends.
pub(crate) async fn send_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // The wall clock may step back between two runs; receivers allow for that.
    let incarnation = since.map_or(0, |since| since.as_millis() as u64);
    let mut sequence = 0;
    let mut next_recipient = 0;
    // Starts at random, so that routers that start together choose different relays.
    let mut turn = rand::random::<u16>() as usize;
    let mut is_urgent = true;
    // The prompts announced since each receiver got its last heartbeat.
    let mut sent: VecDeque<SentPrompts> = VecDeque::new();
    let mut had_fresh_keys = false;
    loop {
        sequence += 1;
        let now_ms = Clock.now_ms();
        let has_fresh_keys = shared.keys_are_fresh();
        if has_fresh_keys != had_fresh_keys {
            had_fresh_keys = has_fresh_keys;
            let event = if has_fresh_keys {
                Event::KEYS_FRESH
            } else {
                Event::KEYS_STALE
            };
            let age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX);
            note!(event, configuration_age_ms = age_ms);
        }
        let settings = shared.settings();
        let copies = match is_urgent {
            true => URGENT_COPIES,
            false => 1,
        };
        let plan = broadcast_plan(&shared, turn, copies);
        let routers = shared.peers().known_count().max(plan.len());
        let pace = HeartbeatPace {
            heartbeat_ms: settings.times.heartbeat_ms,
            min_heartbeat_ms: settings.times.min_heartbeat_ms,
            fan_out: HEARTBEATS_AT_ONCE,
        };
        let rounds = pace.rounds(routers);
        let interval_ms = rounds as u64 * pace.send_interval_ms(routers);
        shared.peers().set_heartbeat_interval(interval_ms);
        sent.push_back(shared.traffic().prefix_index.take_pending());
        while sent.len() > rounds {
            sent.pop_front();
        }
        let heartbeat = Heartbeat {
            name: settings.name.clone(),
            incarnation,
            sequence,
            zone: settings.zone.clone(),
            cpu_millicores: settings.cpu_millicores,
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            state: shared.advertised_state(),
            loads: shared.own_loads(),
            has_prefixes: shared.prefix_recovery().has_prefixes(now_ms),
            sent: SentPrompts {
                prefixes: sent.iter().flat_map(|one| &one.prefixes).copied().collect(),
                private: sent.iter().flat_map(|one| &one.private).copied().collect(),
            },
            is_store_failing: shared.is_store_failing(now_ms),
            configuration: shared.configuration_watch().state().advert(),
            servers: shared.servers_watch().state().advert(),
        };
        let bytes = encode(&RouterMessage::Heartbeat(Box::new(heartbeat)));
        if is_urgent {
            send_planned(&socket, &plan, &bytes, 0, plan.len()).await;
        } else {
            let count = plan.len().div_ceil(rounds);
            send_planned(&socket, &plan, &bytes, next_recipient, count).await;
            next_recipient += count;
            if next_recipient >= plan.len() {
                next_recipient = 0;
                turn = turn.wrapping_add(1);
            }
        }
        let send_interval_ms = pace.send_interval_ms(routers);
        is_urgent = tokio::select! {
            () = sleep(Duration::from_millis(send_interval_ms)) => false,
            () = shared.state_changed.notified() => true,
        };
    }
}

/// Sends the results of the watches of the store to all routers at once, until the process ends:
/// the changes of the backend servers, and how up to date this router's listings are.
pub(crate) async fn advertise_listings(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut turn = rand::random::<u16>() as usize;
    loop {
        shared.listings_read.notified().await;
        turn = turn.wrapping_add(1);
        let plan = broadcast_plan(&shared, turn, URGENT_COPIES);
        let configuration = shared.configuration_watch().state().advert();
        let servers = shared.servers_watch().state().advert();
        for changes in shared.take_pending_changes() {
            let advert = servers;
            // A router that misses a fragment reads the changes from another router.
            for fragment in ChangesFragment::split(changes, MAX_CHANGES_BYTES, encoded_bytes) {
                let message = encode(&RouterMessage::Servers { fragment, advert });
                send_planned(&socket, &plan, &message, 0, plan.len()).await;
            }
        }
        for reports in shared
            .cold_servers
            .take_announcements()
            .chunks(MAX_COLD_REPORTS)
        {
            let message = encode(&RouterMessage::ColdServers(reports.to_vec()));
            send_planned(&socket, &plan, &message, 0, plan.len()).await;
        }
        let message = encode(&RouterMessage::Listings {
            name: shared.settings().name.clone(),
            configuration,
            servers,
        });
        send_planned(&socket, &plan, &message, 0, plan.len()).await;
    }
}

/// Sends a message to all routers at once.
pub(crate) async fn send_to_all(shared: &Shared, socket: &UdpSocket, turn: usize, message: &[u8]) {
    let plan = broadcast_plan(shared, turn, URGENT_COPIES);
    send_planned(socket, &plan, message, 0, plan.len()).await;
}

/// Sends a message to up to `count` routers of a plan, from the `start`th on.
async fn send_planned(
    socket: &UdpSocket,
    plan: &BroadcastPlan,
    message: &[u8],
    start: usize,
    count: usize,
) {
    let relayed = match plan.relays.is_empty() {
        true => Vec::new(),
        false => encode(&RouterMessage::Relay(message.to_vec())),
    };
    let direct = plan.direct.iter().map(|address| (address, message));
    let relays = plan.relays.iter().map(|address| (address, &relayed[..]));
    for (address, bytes) in direct.chain(relays).skip(start).take(count) {
        // Errors are ignored like lost datagrams: each kind of message is repeated or asked for.
        drop(socket.send_to(bytes, address).await);
    }
}

/// Forwards a message to the other routers of this router's availability zone.
async fn forward_in_zone(shared: &Shared, socket: &UdpSocket, message: &[u8]) {
    let zone_peers: Vec<SocketAddr> = {
        let settings = shared.settings();
        let peers = shared.peers();
        let recipients = peers.recipients(Clock.now_ms()).into_iter();
        let zone_peers = recipients.filter(|one| one.zone == Some(settings.zone.as_str()));
        zone_peers.map(|one| one.address).collect()
    };
    for address in zone_peers {
        drop(socket.send_to(message, address).await);
    }
}

/// Encodes a message as a datagram.
pub(crate) fn encode(message: &RouterMessage) -> Vec<u8> {
    // Numbers, strings and lists can always be encoded.
    bincode::serialize(message).unwrap_or_default()
}

/// Returns the length of a change in a datagram, in bytes.
fn encoded_bytes(change: &ServerChange) -> usize {
    bincode::serialized_size(change).map_or(0, |bytes| bytes as usize)
}

/// Sends the newest prompt prefixes to another router.
async fn send_prefixes(shared: &Shared, socket: &UdpSocket, reply_to: SocketAddr) {
    let prefixes = shared
        .traffic()
        .prefix_index
        .newest(MAX_SENT_PREFIXES, Clock.now_ms());
    for chunk in prefixes.chunks(PrefixIndex::PREFIXES_IN_DATAGRAM) {
        let message = encode(&RouterMessage::Prefixes(chunk.to_vec()));
        // A lost prefix only costs a server a second prefill.
        drop(socket.send_to(&message, reply_to).await);
    }
}

/// Receives and handles the messages of other routers until the process ends.
pub(crate) async fn receive_messages(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_RECEIVED_BYTES];
    let mut loads_applied_ms = 0;
    let mut reply_limiter = PrefixReplyLimiter::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error of an earlier datagram to a closed port; the next call receives again.
            continue;
        };
        let mut message = match bincode::deserialize(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                note!(Event::MESSAGE_UNREADABLE, from = from, error = error);
                continue;
            }
        };
        if let RouterMessage::Relay(inner) = &message {
            message = match bincode::deserialize(inner) {
                Ok(RouterMessage::Relay(_)) => continue,
                Ok(inner_message) => {
                    forward_in_zone(&shared, &socket, inner).await;
                    inner_message
                }
                Err(error) => {
                    note!(Event::MESSAGE_UNREADABLE, from = from, error = error);
                    continue;
                }
            };
        }
        let heartbeat: Heartbeat = match message {
            RouterMessage::Relay(_)
            | RouterMessage::RetiredHeartbeat1
            | RouterMessage::RetiredHeartbeat2
            | RouterMessage::RetiredServers => continue,
            RouterMessage::SlotUpdate(update) => {
                if shared.peers().is_known_ip(from.ip()) {
                    let message = SlotMessage::Update(update);
                    shared.slot_scheduling.deliver(from, message);
                }
                continue;
            }
            RouterMessage::SlotReply(reply) => {
                if shared.peers().is_known_ip(from.ip()) {
                    let message = SlotMessage::Reply(reply);
                    shared.slot_scheduling.deliver(from, message);
                }
                continue;
            }
            RouterMessage::LoadReport(report) => {
                shared.load_exchange().record_report(report);
                continue;
            }
            RouterMessage::ZoneLoads(zone) => {
                shared.load_exchange().record_zone(zone);
                continue;
            }
            RouterMessage::LoadDigest(digest) => {
                shared.apply_digest(from, &digest);
                continue;
            }
            RouterMessage::Heartbeat(heartbeat) => *heartbeat,
            RouterMessage::AskPrefixes { reply_to } => {
                if reply_limiter.try_serve(Clock.now_ms()) {
                    send_prefixes(&shared, &socket, reply_to).await;
                }
                continue;
            }
            RouterMessage::Servers { fragment, advert } => {
                // The time of a recovery decides how removed entries are treated.
                let mut state = shared.servers_watch().state();
                if let Some(recovered_ms) = advert.recovered_store_ms {
                    state.record_recovery(recovered_ms);
                }
                drop(state);
                shared.deliver_changes(fragment);
                continue;
            }
            RouterMessage::Listings {
                name,
                configuration,
                servers,
            } => {
                record_adverts(&shared, &configuration, &servers);
                shared
                    .peers()
                    .record_listings(&name, configuration, servers);
                continue;
            }
            RouterMessage::Crashes {
                records,
                digest,
                is_final,
            } => {
                let replies = merge_peer_crashes(&shared, from, &records, digest, is_final);
                for reply in replies {
                    drop(socket.send_to(&encode(&reply), from).await);
                }
                continue;
            }
            RouterMessage::CrashReports(records) => {
                if let Some(reply) = merge_crash_reports(&shared, from, &records) {
                    drop(socket.send_to(&encode(&reply), from).await);
                }
                continue;
            }
            RouterMessage::ColdServers(reports) => {
                shared.cold_servers.record_reports(&reports);
                continue;
            }
            RouterMessage::EndedServers(reports) => {
                shared.ended_servers.record_reports(&shared, from, &reports);
                continue;
            }
            RouterMessage::StreamOrigins(records) => {
                if shared.peers().is_known_ip(from.ip()) {
                    shared.stream_origins.merge(&records);
                }
                continue;
            }
            RouterMessage::Prefixes(prefixes) => {
                shared
                    .traffic()
                    .prefix_index
                    .record_holdings(&prefixes, Clock.now_ms());
                shared.prefix_recovery().record_received();
                continue;
            }
        };
        if heartbeat.name == shared.settings().name {
            continue;
        }
        let now_ms = Clock.now_ms();
        if !shared.peers().is_newer(&heartbeat, now_ms) {
            continue;
        }
        shared
            .traffic()
            .prefix_index
            .record_advertised(&heartbeat.sent, now_ms);
        record_adverts(&shared, &heartbeat.configuration, &heartbeat.servers);
        let name = heartbeat.name.clone();
        let state = heartbeat.state;
        let mut peers = shared.peers();
        if peers.record(heartbeat, now_ms) {
            note!(
                Event::PEER_CHANGED,
                router = name,
                state = format_args!("{state:?}")
            );
        }
        if now_ms >= loads_applied_ms + shared.settings().times.heartbeat_ms / 4 {
            loads_applied_ms = now_ms;
            for name in peers.remove_expired(now_ms) {
                note!(Event::PEER_LOST, router = name);
            }
            drop(peers);
            shared.apply_heartbeat_loads(now_ms);
        }
    }
}

/// Records how up to date another router's listings are, and wakes a watch that lacks a change.
fn record_adverts(shared: &Shared, configuration: &ListingAdvert, servers: &ListingAdvert) {
    let now_ms = Clock.now_ms();
    let watches = [
        (shared.configuration_watch(), configuration),
        (shared.servers_watch(), servers),
    ];
    for (watch, advert) in watches {
        if watch.state().record_advert(advert, now_ms) {
            watch.changed.notify_one();
        }
    }
}
