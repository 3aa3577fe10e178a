//! Messages between routers: signatures, compatibility between releases, malformed messages.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use sapphiretrack_core::{
    FullServer, Grant, HeldSlots, RequesterLoad, ReservationId, ReserveRequest, RouterId, ServerId,
    VmState, WarmList,
};
use sapphiretrack_peer::{
    Heartbeat, HeartbeatReply, InFlight, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerClient,
    PeerError, PeerHandlers, PeerReply, PeerRequest, Section, Settings, SigningKey, SlotReply,
    Verification, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn heartbeat() -> Heartbeat {
    Heartbeat {
        router: RouterId(1),
        incarnation: 7,
        sequence: 8,
        seen_sequence: 0,
        state: VmState::Live,
        config_version: 3,
        profile: None,
        in_flight: InFlight::default(),
        servers: Vec::new(),
        held: HeldSlots::default(),
        leaving_servers: Vec::new(),
        list_digest: 0,
        suspects: Vec::new(),
        sections: Vec::new(),
    }
}

fn request() -> PeerRequest {
    PeerRequest::Heartbeat(Box::new(heartbeat()))
}

#[test]
fn a_request_is_valid_only_unmodified_and_with_its_key() {
    let key = SigningKey::new("the key of the cell");
    let signed = key.sign(&request()).expect("the message can be encoded");
    assert_eq!(key.verify(&signed), Verification::Valid(request()));
    assert_eq!(
        SigningKey::new("another key").verify(&signed),
        Verification::Invalid
    );
    assert_eq!(SigningKey::new("").verify(&signed), Verification::Invalid);
    for index in 0..signed.body.len() {
        let mut changed = signed.clone();
        changed.body[index] ^= 1;
        assert_eq!(key.verify(&changed), Verification::Invalid, "byte {index}");
    }
    let mut renumbered = signed.clone();
    renumbered.version += 1;
    assert_eq!(key.verify(&renumbered), Verification::Invalid);
}

#[test]
fn a_reply_is_valid_for_its_request_only() {
    let key = SigningKey::new("the key of the cell");
    let one = key.sign(&request()).expect("the message can be encoded");
    let other = key
        .sign(&PeerRequest::FetchConfig)
        .expect("the message can be encoded");
    let reply = PeerReply::Heartbeat(HeartbeatReply::default());
    let signed = key
        .sign_reply(&one, &reply)
        .expect("the message can be encoded");
    assert_eq!(key.verify_reply(&one, &signed), Some(reply));
    assert_eq!(key.verify_reply(&other, &signed), None);
}

#[test]
fn unknown_sections_are_ignored_and_unknown_requests_of_later_releases_are_not_invalid() {
    let key = SigningKey::new("the key of the cell");
    let later = Heartbeat {
        sections: vec![Section {
            kind: 900,
            body: vec![1, 2, 3],
        }],
        ..heartbeat()
    };
    let call = PeerRequest::Heartbeat(Box::new(later));
    let signed = key.sign(&call).expect("the message can be encoded");
    assert_eq!(key.verify(&signed), Verification::Valid(call));
    // A request that this release does not know, as a later release signs it.
    let unknown = key.sign_body(PROTOCOL_VERSION + 1, vec![200, 1, 2]);
    assert_eq!(key.verify(&unknown), Verification::UnsupportedVersion);
    let malformed = key.sign_body(PROTOCOL_VERSION, vec![200, 1, 2]);
    assert_eq!(key.verify(&malformed), Verification::Invalid);
    let too_old = key.sign_body(OLDEST_PROTOCOL_VERSION - 1, signed.body);
    assert_eq!(key.verify(&too_old), Verification::Invalid);
}

#[test]
fn a_heartbeat_states_that_its_sender_has_resigned() {
    let key = SigningKey::new("the key of the cell");
    assert!(!heartbeat().has_resigned());
    let resigned = Heartbeat {
        sections: vec![Section::resigned()],
        ..heartbeat()
    };
    let call = PeerRequest::Heartbeat(Box::new(resigned));
    let signed = key.sign(&call).expect("the message can be encoded");
    let Verification::Valid(PeerRequest::Heartbeat(read)) = key.verify(&signed) else {
        panic!("expected a heartbeat");
    };
    assert!(read.has_resigned());
}

#[test]
fn a_hand_over_is_sent_with_a_later_version_than_releases_without_it() {
    // Releases of version 2 do not know this request. With a later version number they treat it as
    // unsupported and not as malformed.
    let key = SigningKey::new("the key of the cell");
    let call = PeerRequest::HandOver(WarmList::default());
    let signed = key.sign(&call).expect("the message can be encoded");
    assert!(signed.version > 2, "version {}", signed.version);
    assert_eq!(key.verify(&signed), Verification::Valid(call));
}

#[test]
fn an_idle_heartbeat_is_small() {
    let key = SigningKey::new("the key of the cell");
    let signed = key.sign(&request()).expect("the message can be encoded");
    assert!(signed.body.len() < 48, "{} bytes", signed.body.len());
}

/// Starts a server with this key. Returns its address and the count of rejected messages.
async fn server(key: &str) -> (std::net::SocketAddr, Arc<AtomicU32>) {
    let rejected = Arc::new(AtomicU32::new(0));
    let count = rejected.clone();
    let handlers = PeerHandlers {
        handle: Arc::new(|_| Box::pin(async { PeerReply::Heartbeat(HeartbeatReply::default()) })),
        rejected: Arc::new(move || {
            count.fetch_add(1, Ordering::Relaxed);
        }),
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let (address, accept_loop) = serve(any_port, SigningKey::new(key), handlers)
        .await
        .expect("the server listens");
    tokio::spawn(accept_loop);
    (address, rejected)
}

#[tokio::test]
async fn messages_with_another_key_and_malformed_ones_are_counted_and_dropped() {
    let (address, rejected) = server("the key of the cell").await;
    let client = PeerClient::new(Settings::default(), SigningKey::new("the key of the cell"));
    client
        .heartbeat(address, heartbeat())
        .await
        .expect("a reply");
    assert_eq!(rejected.load(Ordering::Relaxed), 0);
    let other_key_client = PeerClient::new(Settings::default(), SigningKey::new("another key"));
    let refused = other_key_client.heartbeat(address, heartbeat()).await;
    assert!(matches!(refused, Err(PeerError::Rejected)), "{refused:?}");
    assert_eq!(rejected.load(Ordering::Relaxed), 1);
    let mut raw = tokio::net::TcpStream::connect(address)
        .await
        .expect("a connection");
    raw.write_all(b"\x00\x00\x00\x04\xff\xff\xff\xff")
        .await
        .expect("the bytes are sent");
    let mut rest = Vec::new();
    raw.read_to_end(&mut rest)
        .await
        .expect("the server closes the connection");
    assert_eq!(rejected.load(Ordering::Relaxed), 2);
    client
        .heartbeat(address, heartbeat())
        .await
        .expect("other connections are still served");
}

#[tokio::test]
async fn a_refused_connection_is_distinguished_from_a_timeout() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the server listens");
    let address = listener.local_addr().expect("an address");
    let settings = Settings {
        call_timeout_ms: 50,
        ..Settings::default()
    };
    let client = PeerClient::new(settings, SigningKey::new("the key of the cell"));
    let silent = client
        .heartbeat(address, heartbeat())
        .await
        .expect_err("the call times out");
    assert!(!silent.is_connection_refused(), "{silent}");
    drop(listener);
    let refused = client
        .heartbeat(address, heartbeat())
        .await
        .expect_err("the connection is refused");
    assert!(refused.is_connection_refused(), "{refused}");
}

#[tokio::test]
async fn a_refusal_of_a_full_server_contains_counts_and_the_request_can_be_repeated() {
    let full = FullServer {
        held: 8,
        in_flight: 11,
        live_servers: 12,
    };
    let handlers = PeerHandlers {
        handle: Arc::new(move |call| {
            Box::pin(async move {
                match call {
                    PeerRequest::ReserveAgain { known_load, .. }
                        if known_load.live_servers == 12 =>
                    {
                        PeerReply::Reserve(Grant::Granted)
                    }
                    _ => PeerReply::Full(full),
                }
            })
        }),
        rejected: Arc::new(|| {}),
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let (address, accept_loop) = serve(any_port, SigningKey::new("the key of the cell"), handlers)
        .await
        .expect("the server listens");
    tokio::spawn(accept_loop);
    let client = PeerClient::new(Settings::default(), SigningKey::new("the key of the cell"));
    let slot_request = ReserveRequest {
        router: RouterId(1),
        reservation: ReservationId(1),
        server: ServerId(1),
        bound_share: 1.0,
        in_flight: 10,
    };
    let known_load = RequesterLoad {
        least_in_flight: 95,
        live_servers: 12,
    };
    let first = client
        .reserve(address, slot_request, None)
        .await
        .expect("a reply");
    let again = client
        .reserve(address, slot_request, Some(known_load))
        .await;
    assert_eq!(first, SlotReply::Full(full));
    assert_eq!(again.expect("a reply"), SlotReply::Decided(Grant::Granted));
}
