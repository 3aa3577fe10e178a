//! Recovers, after a start, which servers have which prompt prefixes cached.

use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use rand::RngExt;
use sapphiretrack_routing::{PrefixStep, RouterMessage, SentPrefix};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::eligible_servers::exclusion_of_probe;
use crate::events::{Event, note};
use crate::peer_messages::encode;
use crate::ports::ListPrefixes;
use crate::shared::Shared;
use crate::stated_availability::record_stated_availability;

/// The number of engines that are asked at a time, which bounds the memory of their answers.
const MAX_CALLS: usize = 32;

/// Queries other routers, or the engines if no router has them, until the cached prefixes are
/// known.
pub(crate) async fn recover_prefixes(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    list_prefixes: ListPrefixes,
) {
    loop {
        let now_ms = Clock.now_ms();
        if shared.prefix_recovery().has_prefixes(now_ms) {
            return;
        }
        let zone = &shared.settings().zone;
        let sources = shared.peers().prefix_sources(zone, now_ms);
        let rank = shared.rank(now_ms);
        let draw = rand::rng().random();
        let step = shared
            .prefix_recovery()
            .next_step(&sources, rank, draw, now_ms);
        match step {
            PrefixStep::Wait => {}
            PrefixStep::AskRouter(router) => {
                let reply_to = shared.settings().peer_address;
                let message = encode(&RouterMessage::AskPrefixes { reply_to });
                // If the datagram is lost, the query is repeated after a heartbeat interval.
                drop(socket.send_to(&message, router).await);
            }
            PrefixStep::AskServers => {
                query_engines(&shared, &list_prefixes).await;
                shared.prefix_recovery().record_received();
                // Other routers wait until one advertises that it has the prefixes.
                shared.state_changed.notify_one();
            }
        }
        sleep(Duration::from_millis(shared.settings().times.heartbeat_ms)).await;
    }
}

/// Asks every engine for its cached prefixes and records them.
async fn query_engines(shared: &Shared, list_prefixes: &ListPrefixes) {
    let Some(configuration) = shared.configuration.load_full() else {
        return;
    };
    let services = shared.servers.load_full();
    let engines = services.iter().filter(|(service, _)| {
        let service = configuration.service(service);
        service.is_some_and(|service| service.is_engine)
    });
    let engines = engines.flat_map(|(_, servers)| servers);
    let engines: Vec<_> = engines
        .filter(|engine| exclusion_of_probe(shared, engine).is_none())
        .cloned()
        .collect();
    let server_count = engines.len();
    let calls = engines.into_iter().map(|engine| {
        let answer = list_prefixes(&engine);
        async move { (engine, answer.await) }
    });
    let mut answers = stream::iter(calls).buffer_unordered(MAX_CALLS);
    let mut prefix_count = 0;
    while let Some((engine, answer)) = answers.next().await {
        record_stated_availability(shared, &engine, answer.availability, "");
        match answer.prefixes {
            Ok(prefixes) => {
                let server = engine.incarnation.0;
                let holdings = prefixes.into_iter().map(|prefix| SentPrefix {
                    server,
                    prefix: prefix.id,
                    tokens: prefix.tokens,
                });
                let holdings: Vec<SentPrefix> = holdings.collect();
                prefix_count += holdings.len();
                shared
                    .traffic()
                    .prefix_index
                    .record_holdings(&holdings, Clock.now_ms());
            }
            Err(error) => {
                note!(Event::PREFIX_LIST_FAILED, server = engine.id, error = error);
            }
        }
    }
    note!(
        Event::PREFIXES_LISTED,
        servers = server_count,
        prefixes = prefix_count
    );
}
