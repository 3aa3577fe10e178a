//! Evidence against requests that crash servers: what routers agree on, under loss, and its bounds.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{CrashEvidence, CrashRecord, Fingerprint, Outline, RequestIdentity};

const MAX_CRASHES: usize = 3;

fn identity(body: &[u8]) -> RequestIdentity<'_> {
    RequestIdentity {
        caller: "tenant",
        method: "POST",
        host: "a.example",
        path: "/chat/?x=1",
        body,
    }
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of(&identity(&number.to_le_bytes()))
}

fn record(request: u64, server: u64, is_void: bool) -> CrashRecord {
    CrashRecord {
        fingerprint: fingerprint(request),
        server,
        age_ms: 0,
        is_void,
    }
}

/// What an evidence says, without ages.
fn content(evidence: &CrashEvidence) -> Vec<(Fingerprint, u64, bool)> {
    let records = evidence.records(usize::MAX, 0);
    let mut content: Vec<_> = records
        .iter()
        .map(|one| (one.fingerprint, one.server, one.is_void))
        .collect();
    content.sort_unstable();
    content
}

#[test]
fn copies_share_a_fingerprint_and_nothing_else_does() {
    let one = identity(b"body");
    let others = [
        RequestIdentity {
            caller: "other",
            ..one
        },
        RequestIdentity {
            method: "PUT",
            ..one
        },
        RequestIdentity {
            host: "b.example",
            ..one
        },
        RequestIdentity {
            path: "/chat/?x=2",
            ..one
        },
        RequestIdentity {
            body: b"bodY",
            ..one
        },
        // The same bytes, parted elsewhere.
        RequestIdentity {
            caller: "tenantP",
            method: "OST",
            ..one
        },
    ];
    assert_eq!(Fingerprint::of(&one), Fingerprint::of(&identity(b"body")));
    for other in others {
        assert_ne!(Fingerprint::of(&one).hash, Fingerprint::of(&other).hash);
    }
    assert_eq!(Outline::of(&one), Outline::of(&identity(b"bodY")));
    assert_eq!(Fingerprint::of(&one).outline, Outline::of(&one));
    assert_ne!(Outline::of(&one), Outline::of(&identity(b"longer")));
}

prop_compose! {
    fn records()(
        records in prop::collection::vec((0_u64..4, 0_u64..5, any::<bool>()), 0..24),
    ) -> Vec<CrashRecord> {
        records.into_iter().map(|(request, server, void)| record(request, server, void)).collect()
    }
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        one in records(),
        other in records(),
        third in records(),
    ) {
        let merged = |parts: &[&[CrashRecord]]| {
            let mut evidence = CrashEvidence::default();
            for part in parts {
                evidence.merge(part, 0);
            }
            evidence
        };
        let whole = merged(&[&one, &other, &third]);
        prop_assert_eq!(content(&whole), content(&merged(&[&third, &other, &one])));
        prop_assert_eq!(content(&whole), content(&merged(&[&one, &other, &one, &third, &other])));
        // What two routers know together, told to the third.
        let pair = merged(&[&other, &third]).records(usize::MAX, 0);
        let grouped = merged(&[&one, &pair]);
        prop_assert_eq!(content(&whole), content(&grouped));
        let digest = |evidence: &CrashEvidence| CrashRecord::digest(&evidence.records(usize::MAX, 0));
        prop_assert_eq!(digest(&whole), digest(&grouped));
    }

    #[test]
    fn a_request_that_was_answered_after_its_crashes_is_not_refused(
        before in records(),
        late in records(),
        request in 0_u64..4,
    ) {
        let mut evidence = CrashEvidence::default();
        evidence.merge(&before, 0);
        let voided = evidence.note_answered(fingerprint(request), 0);
        prop_assert_eq!(evidence.crashes(fingerprint(request)), 0);
        // Another router that still holds the crashes learns that they are void.
        let mut other = CrashEvidence::default();
        other.merge(&before, 0);
        other.merge(&voided, 0);
        prop_assert_eq!(other.crashes(fingerprint(request)), 0);
        // What was known comes again, from a router that knows of no answer.
        evidence.merge(&before, 0);
        prop_assert_eq!(evidence.crashes(fingerprint(request)), 0);
        // Only crashes of other servers count from then on.
        evidence.merge(&late, 0);
        let known = |server: u64| before.iter().any(|one| {
            one.fingerprint == fingerprint(request) && one.server == server
        });
        let mut fresh: Vec<u64> = late
            .iter()
            .filter(|one| one.fingerprint == fingerprint(request) && !known(one.server))
            .map(|one| one.server)
            .collect();
        fresh.sort_unstable();
        fresh.dedup();
        prop_assert!(evidence.crashes(fingerprint(request)) <= fresh.len());
    }
}

#[test]
fn crashes_count_by_server_and_expire_by_their_age_not_by_their_repeats() {
    let mut evidence = CrashEvidence::default();
    let request = fingerprint(1);
    for server in [1, 2, 2, 1] {
        evidence.note_crash(request, server, 1_000);
    }
    assert_eq!(evidence.crashes(request), 2);
    assert!(evidence.may_know(request.outline));
    let end_ms = 1_000 + CrashEvidence::KEPT_MS;
    let mut other = CrashEvidence::default();
    // Two routers send it to each other all the time.
    for now_ms in (2_000..end_ms).step_by(60_000) {
        other.merge(&evidence.records(usize::MAX, now_ms), now_ms);
        evidence.merge(&other.records(usize::MAX, now_ms), now_ms);
    }
    for evidence in [&mut evidence, &mut other] {
        evidence.expire(end_ms - 1);
        assert_eq!(evidence.crashes(request), 2);
        evidence.expire(end_ms);
        assert_eq!(evidence.crashes(request), 0);
        assert!(evidence.is_empty());
        assert!(!evidence.may_know(request.outline));
    }
}

#[test]
fn a_flood_of_requests_that_crash_is_bounded_and_drops_the_least_evidence() {
    let mut evidence = CrashEvidence::default();
    for server in 0..MAX_CRASHES as u64 {
        evidence.note_crash(fingerprint(0), server, 5);
    }
    let flood = 3 * CrashEvidence::MAX_REQUESTS as u64;
    for number in 1..flood {
        evidence.note_crash(fingerprint(number), 7, 10 + number);
    }
    let kept = evidence.records(usize::MAX, flood);
    assert!(kept.len() <= CrashEvidence::MAX_REQUESTS + MAX_CRASHES);
    assert_eq!(evidence.crashes(fingerprint(0)), MAX_CRASHES);
    assert_eq!(evidence.crashes(fingerprint(1)), 0, "the oldest");
    assert_eq!(evidence.crashes(fingerprint(flood - 1)), 1);
    assert_eq!(
        evidence.records(MAX_CRASHES, flood)[0].fingerprint,
        fingerprint(0)
    );
    for server in 0..1_000 {
        evidence.note_crash(fingerprint(0), server, flood);
    }
    assert!(evidence.crashes(fingerprint(0)) <= CrashEvidence::MAX_SERVERS);
}

/// Routers that tell each other, as the program does: each piece of news to all four times within 1.3 s,
/// and two others each quarter of a second what they know. Messages are lost with a chance, and all of them
/// between two halves during a partition. Returns how long after its third crash, and after the end of
/// the partition, the last router refuses the request.
fn play(routers: usize, loss: f64, partition_ms: u64, seed: u64) -> u64 {
    const STEP_MS: u64 = 20;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = vec![CrashEvidence::default(); routers];
    let crashes: Vec<(u64, usize)> = (0..3)
        .map(|one| (one * 400, one as usize * 7 % routers))
        .collect();
    let (last_ms, _) = crashes[2];
    let mut news: Vec<(u64, usize, CrashRecord)> = Vec::new();
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        let reaches = |from: usize, to: usize, draw: f64| {
            let is_parted =
                now_ms < last_ms + partition_ms && (from < routers / 2) != (to < routers / 2);
            from != to && !is_parted && draw >= loss
        };
        for (server, (at_ms, router)) in crashes.iter().enumerate() {
            if now_ms == *at_ms {
                let record = fleet[*router].note_crash(fingerprint(1), server as u64, now_ms);
                let record = record.expect("new");
                let times = [0, 100, 400, 1_300].map(|pause| (now_ms + pause, *router, record));
                news.extend(times);
            }
        }
        for (at_ms, from, record) in &news {
            for (to, router) in fleet.iter_mut().enumerate() {
                if *at_ms == now_ms && reaches(*from, to, random.random()) {
                    router.merge(&[*record], now_ms);
                }
            }
        }
        if now_ms % 240 == 0 {
            for from in 0..routers {
                let others = rand::seq::index::sample(&mut random, routers - 1, 2);
                for other in others {
                    let to = (from + 1 + other) % routers;
                    let known = fleet[from].records(256, now_ms);
                    let asked = reaches(from, to, random.random());
                    if !asked || known == fleet[to].records(256, now_ms) {
                        continue;
                    }
                    let answer = fleet[to].records(256, now_ms);
                    if reaches(to, from, random.random()) {
                        fleet[from].merge(&answer, now_ms);
                        if reaches(from, to, random.random()) {
                            fleet[to].merge(&known, now_ms);
                        }
                    }
                }
            }
        }
        let all = fleet
            .iter()
            .all(|one| one.crashes(fingerprint(1)) >= MAX_CRASHES);
        if now_ms >= last_ms + partition_ms && all {
            return now_ms - last_ms - partition_ms;
        }
    }
    panic!("not all know it");
}

/// Guards against routers that go on sending a request because a message was lost.
#[test]
fn all_routers_refuse_within_three_seconds_though_half_of_the_messages_are_lost() {
    for routers in [3, 9, 89, 300] {
        for seed in 0..20 {
            let took_ms = play(routers, 0.5, 0, seed);
            assert!(
                took_ms <= 3_000,
                "{routers} routers, seed {seed}: {took_ms} ms"
            );
        }
    }
}

#[test]
fn all_routers_refuse_within_three_seconds_after_a_partition() {
    for routers in [3, 9, 89, 300] {
        for seed in 0..10 {
            let took_ms = play(routers, 0.03, 5_000, seed);
            assert!(
                took_ms <= 3_000,
                "{routers} routers, seed {seed}: {took_ms} ms"
            );
        }
    }
}
