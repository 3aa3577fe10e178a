//! Arbitrary peer messages: valid ones arrive unchanged, all others are dropped and counted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use sapphiretrack_core::{
    Amounts, BudgetRequest, Grant, HeldSlots, LoadReport, ReservationId, ReserveRequest, RouterId,
    RouterProfile, ServerId, VmState,
};
use sapphiretrack_peer::{
    ConfigReply, Heartbeat, HeartbeatReply, InFlight, PROTOCOL_VERSION, PeerHandlers, PeerReply,
    PeerRequest, Section, ServerState, Signed, SigningKey, Verification, VmListReply, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn key() -> SigningKey {
    SigningKey::new("the key of the cell")
}

fn vm_state() -> impl Strategy<Value = VmState> {
    prop_oneof![Just(VmState::Live), Just(VmState::Leaving)]
}

fn server_state() -> impl Strategy<Value = ServerState> {
    let report = (any::<u64>(), any::<u32>(), any::<u32>(), any::<bool>());
    (any::<u64>(), vm_state(), any::<bool>(), report).prop_map(
        |(server, state, reachable, (incarnation, running, queued, leaving))| ServerState {
            server: ServerId(server),
            state,
            reachable,
            report: LoadReport {
                incarnation,
                running,
                queued,
                queued_prompt_tokens: incarnation,
                leaving,
            },
        },
    )
}

fn profile() -> impl Strategy<Value = Box<RouterProfile>> {
    let address = any::<SocketAddr>().prop_map(|address| match address {
        // The scope id and flow label of an IPv6 address are not encoded.
        SocketAddr::V6(v6) => SocketAddr::from((*v6.ip(), v6.port())),
        SocketAddr::V4(_) => address,
    });
    (".{0,20}", ".{0,20}", address).prop_map(|(name, zone, address)| {
        Box::new(RouterProfile {
            name,
            zone,
            caller_address: address,
            peer_address: address,
            operator_address: address,
        })
    })
}

fn held() -> impl Strategy<Value = HeldSlots> {
    let by_server = vec((any::<u64>(), vec(any::<u32>(), 0..4)), 0..4);
    (any::<u32>(), by_server).prop_map(|(next_reservation, by_server)| HeldSlots {
        next_reservation,
        by_server: by_server
            .into_iter()
            .map(|(server, ids)| {
                (
                    ServerId(server),
                    ids.into_iter().map(ReservationId).collect(),
                )
            })
            .collect(),
    })
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let counts = vec((any::<u64>(), any::<u16>()), 0..4);
    let sections = vec((any::<u16>(), vec(any::<u8>(), 0..20)), 0..3);
    let leaving = vec((any::<u64>(), any::<u64>()), 0..3);
    let parts = (option::of(profile()), vec(server_state(), 0..3), held());
    (numbers, vm_state(), counts, sections, leaving, parts).prop_map(
        |((router, incarnation, sequence, digest), state, counts, sections, leaving, parts)| {
            let (profile, servers, held) = parts;
            let counts = counts.into_iter().map(|(id, count)| (ServerId(id), count));
            Heartbeat {
                router: RouterId(router),
                incarnation,
                sequence,
                seen_sequence: digest,
                state,
                config_version: sequence,
                profile,
                in_flight: InFlight {
                    whole: digest % 2 == 0,
                    counts: counts.collect(),
                },
                servers,
                held,
                leaving_servers: leaving
                    .into_iter()
                    .map(|(id, run)| (ServerId(id), run))
                    .collect(),
                list_digest: digest,
                suspects: vec![RouterId(digest)],
                sections: sections
                    .into_iter()
                    .map(|(kind, body)| Section { kind, body })
                    .collect(),
            }
        },
    )
}

fn amounts() -> impl Strategy<Value = Amounts> {
    (-1e9..1e9, -1e9..1e9).prop_map(|(requests, tokens)| Amounts { requests, tokens })
}

fn budget_request() -> impl Strategy<Value = BudgetRequest> {
    let need = option::of(0.0..1e9);
    let amounts = (amounts(), amounts(), amounts());
    (any::<u64>(), ".{0,20}", amounts, need, any::<u32>()).prop_map(
        |(router, customer, (held, returned, ahead), need_tokens, in_flight)| BudgetRequest {
            router: RouterId(router),
            customer,
            sequence: router,
            held,
            returned,
            need_tokens,
            ahead,
            in_flight,
            slots_ahead: in_flight,
        },
    )
}

fn request() -> impl Strategy<Value = PeerRequest> {
    let ids = (any::<u64>(), any::<u32>(), any::<u64>(), any::<u16>());
    let reserve =
        (ids, 0.0_f32..1.0).prop_map(|((router, reservation, server, in_flight), bound_share)| {
            PeerRequest::Reserve(ReserveRequest {
                router: RouterId(router),
                reservation: ReservationId(reservation),
                server: ServerId(server),
                bound_share,
                in_flight,
            })
        });
    let release = ids.prop_map(
        |(router, reservation, server, in_flight)| PeerRequest::Release {
            router: RouterId(router),
            server: ServerId(server),
            reservation: ReservationId(reservation),
            in_flight,
        },
    );
    let since = (any::<u64>(), ".{0,20}");
    prop_oneof![
        heartbeat().prop_map(|heartbeat| PeerRequest::Heartbeat(Box::new(heartbeat))),
        reserve,
        release,
        Just(PeerRequest::FetchConfig),
        since.prop_map(|(version, change_id)| PeerRequest::FetchConfigSince { version, change_id }),
        budget_request().prop_map(PeerRequest::LeaseBudget),
        Just(PeerRequest::FetchVmList),
    ]
}

fn reply() -> impl Strategy<Value = PeerReply> {
    let grant = prop_oneof![
        Just(Grant::Granted),
        Just(Grant::Full),
        Just(Grant::NotSteward)
    ];
    let heartbeat = (any::<u64>(), any::<bool>(), any::<u64>());
    prop_oneof![
        heartbeat.prop_map(|(config_version, wants_whole, known_incarnation)| {
            PeerReply::Heartbeat(HeartbeatReply {
                config_version,
                wants_whole,
                known_incarnation,
                introduced: Vec::new(),
            })
        }),
        grant.prop_map(PeerReply::Reserve),
        Just(PeerReply::Released),
        ".{0,40}".prop_map(|config_json| PeerReply::Config(ConfigReply { config_json })),
        ".{0,40}".prop_map(PeerReply::ConfigChanges),
        ".{0,40}".prop_map(|vms_json| PeerReply::VmList(VmListReply { vms_json })),
        Just(PeerReply::Rejected),
        Just(PeerReply::Unsupported),
    ]
}

/// A modification of encoded bytes.
#[derive(Clone, Debug)]
enum Corruption {
    Flip(prop::sample::Index, u8),
    Cut(prop::sample::Index),
    Insert(prop::sample::Index, Vec<u8>),
}

fn corruption() -> impl Strategy<Value = Corruption> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        (index(), 1..=255_u8).prop_map(|(at, bits)| Corruption::Flip(at, bits)),
        index().prop_map(Corruption::Cut),
        (index(), vec(any::<u8>(), 1..12)).prop_map(|(at, bytes)| Corruption::Insert(at, bytes)),
    ]
}

fn corrupted(mut body: Vec<u8>, corruption: &Corruption) -> Vec<u8> {
    match corruption {
        Corruption::Flip(at, bits) => {
            let at = at.index(body.len());
            body[at] ^= bits;
        }
        Corruption::Cut(at) => body.truncate(at.index(body.len())),
        Corruption::Insert(at, bytes) => {
            let at = at.index(body.len());
            body.splice(at..at, bytes.iter().copied());
        }
    }
    body
}

proptest! {
    #[test]
    fn valid_requests_and_replies_arrive_unchanged(request in request(), reply in reply()) {
        let signed = key().sign(&request).expect("the message can be encoded");
        prop_assert_eq!(key().verify(&signed), Verification::Valid(request));
        let answer = key().sign_reply(&signed, &reply).expect("the message can be encoded");
        prop_assert_eq!(key().verify_reply(&signed, &answer), Some(reply));
    }

    #[test]
    fn a_corrupted_message_is_invalid_and_a_signed_corrupted_one_does_not_panic(
        request in request(),
        reply in reply(),
        corruption in corruption(),
    ) {
        let signed = key().sign(&request).expect("the message can be encoded");
        let body = corrupted(signed.body.clone(), &corruption);
        let unsigned = Signed { body: body.clone(), ..signed.clone() };
        prop_assert_eq!(key().verify(&unsigned), Verification::Invalid);
        // A faulty router of the cell may sign malformed bytes. Whether or not they decode,
        // verifying them must not panic.
        let signed_again = key().sign_body(PROTOCOL_VERSION, body);
        prop_assert!(!matches!(key().verify(&signed_again), Verification::UnsupportedVersion));
        let answer = key().sign_reply(&signed, &reply).expect("the message can be encoded");
        let body = corrupted(answer.body.clone(), &corruption);
        let unsigned = Signed { body, ..answer };
        prop_assert_eq!(key().verify_reply(&signed, &unsigned), None);
    }

    #[test]
    fn arbitrary_bytes_are_invalid_or_of_an_unsupported_version_or_decode_to_a_request(
        version in any::<u16>(),
        signature in any::<[u8; 16]>(),
        body in vec(any::<u8>(), 0..300),
    ) {
        let unsigned = Signed { version, signature, body: body.clone() };
        prop_assert_eq!(key().verify(&unsigned), Verification::Invalid);
        let request = key().sign(&PeerRequest::FetchConfig).expect("the message can be encoded");
        prop_assert_eq!(key().verify_reply(&request, &unsigned), None);
        let signed_again = key().sign_body(version, body);
        match key().verify(&signed_again) {
            // A decoded request is like any other and can be encoded again.
            Verification::Valid(decoded) => prop_assert!(key().sign(&decoded).is_ok()),
            Verification::UnsupportedVersion => prop_assert!(version > PROTOCOL_VERSION),
            Verification::Invalid => prop_assert!(version <= PROTOCOL_VERSION),
        }
    }
}

/// Sends one frame on a new connection and waits until the server closes the connection.
async fn send_frame(address: SocketAddr, payload: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let length = u32::try_from(payload.len()).expect("the frame is short");
    stream
        .write_all(&[&length.to_be_bytes(), payload].concat())
        .await
        .expect("the frame is sent");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(60), stream.read_to_end(&mut rest));
    drop(closed.await.expect("the server closes the connection"));
}

#[test]
fn each_malformed_frame_on_the_socket_is_counted_once() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let (handled, rejected) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let (count_handled, count_rejected) = (handled.clone(), rejected.clone());
    let handlers = PeerHandlers {
        handle: Arc::new(move |_| {
            count_handled.fetch_add(1, Ordering::Relaxed);
            Box::pin(async { PeerReply::Released })
        }),
        rejected: Arc::new(move || {
            count_rejected.fetch_add(1, Ordering::Relaxed);
        }),
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (address, accept_loop) = runtime
        .block_on(serve(any_port, key(), handlers))
        .expect("the server listens");
    runtime.spawn(accept_loop);
    // The first 4 bytes of these frames are not the index of any transport message.
    let frame = (2_u32.., vec(any::<u8>(), 0..200))
        .prop_map(|(kind, rest)| [&kind.to_le_bytes(), rest.as_slice()].concat());
    proptest!(ProptestConfig::with_cases(64), |(frame in frame)| {
        let before = rejected.load(Ordering::Relaxed);
        runtime.block_on(send_frame(address, &frame));
        prop_assert_eq!(rejected.load(Ordering::Relaxed), before + 1);
    });
    assert_eq!(handled.load(Ordering::Relaxed), 0);
}
