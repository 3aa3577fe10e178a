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
    let records = evidence.records(1, usize::MAX, 0);
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
        let pair = merged(&[&other, &third]).records(1, usize::MAX, 0);
        let grouped = merged(&[&one, &pair]);
        prop_assert_eq!(content(&whole), content(&grouped));
        let digest = |evidence: &CrashEvidence| CrashRecord::digest(&evidence.records(1, usize::MAX, 0));
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
        other.merge(&evidence.records(1, usize::MAX, now_ms), now_ms);
        evidence.merge(&other.records(1, usize::MAX, now_ms), now_ms);
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
    let kept = evidence.records(1, usize::MAX, flood);
    assert!(kept.len() <= CrashEvidence::MAX_REQUESTS + MAX_CRASHES);
    assert_eq!(evidence.crashes(fingerprint(0)), MAX_CRASHES);
    assert_eq!(evidence.crashes(fingerprint(1)), 0, "the oldest");
    assert_eq!(evidence.crashes(fingerprint(flood - 1)), 1);
    assert_eq!(
        evidence.records(1, MAX_CRASHES, flood)[0].fingerprint,
        fingerprint(0)
    );
    for server in 0..1_000 {
        evidence.note_crash(fingerprint(0), server, flood);
    }
    assert!(evidence.crashes(fingerprint(0)) <= CrashEvidence::MAX_SERVERS);
}

const STEWARDS: usize = 3;
const STEP_MS: u64 = 20;
/// When a message is sent, after the first time.
const REPEATS_MS: [u64; 4] = [0, 100, 400, 1_300];

/// Routers that tell each other, as the program does: the stewards of a request of its first crash, all of what
/// is known from the second one on, each time four times within 1.3 s, and two others each quarter of a
/// second what all are to know. Messages are lost with a chance, and all of them between two halves
/// during a partition.
struct Fleet {
    routers: Vec<CrashEvidence>,
    /// When, from whom, to whom.
    messages: Vec<(u64, usize, Vec<usize>, Vec<CrashRecord>)>,
    random: ChaCha8Rng,
    loss: f64,
    parted_until_ms: u64,
}

impl Fleet {
    fn reaches(&mut self, from: usize, to: usize, now_ms: u64) -> bool {
        let half = self.routers.len() / 2;
        let is_parted = now_ms < self.parted_until_ms && (from < half) != (to < half);
        from != to && !is_parted && self.random.random::<f64>() >= self.loss
    }

    fn tell(&mut self, from: usize, records: &[CrashRecord], now_ms: u64) {
        let evidence = &self.routers[from];
        let is_shared = records
            .iter()
            .any(|one| evidence.is_shared(one.fingerprint));
        let count = self.routers.len();
        // During a partition only the routers of the own half are live.
        let is_parted = now_ms < self.parted_until_ms && from >= count / 2;
        let first = if is_parted { count / 2 } else { 0 };
        let (to, records): (Vec<usize>, _) = match is_shared {
            true => {
                let all = (0..count).collect();
                (all, evidence.records_of(records[0].fingerprint, now_ms))
            }
            false => {
                let stewards = first..(first + STEWARDS).min(count);
                (stewards.collect(), records.to_vec())
            }
        };
        let times =
            REPEATS_MS.map(|pause_ms| (now_ms + pause_ms, from, to.clone(), records.clone()));
        self.messages.extend(times);
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.messages = later;
        let due: Vec<(u64, usize, Vec<usize>, Vec<CrashRecord>)> = due;
        for (_, from, recipients, records) in due {
            let is_report = records.len() < CrashEvidence::SHARED_FROM;
            for to in recipients {
                if !self.reaches(from, to, now_ms) {
                    continue;
                }
                let news = self.routers[to].merge(&records, now_ms);
                let is_second = !news.is_empty() && self.routers[to].is_shared(news[0].fingerprint);
                if is_report && is_second {
                    self.tell(to, &news, now_ms);
                }
            }
        }
    }

    fn compare(&mut self, now_ms: u64) {
        let count = self.routers.len();
        for from in 0..count {
            for other in rand::seq::index::sample(&mut self.random, count - 1, 2) {
                let to = (from + 1 + other) % count;
                if !self.reaches(from, to, now_ms)
                    || self.routers[from].digest() == self.routers[to].digest()
                {
                    continue;
                }
                let answer = self.routers[to].shared_records(now_ms);
                if self.reaches(to, from, now_ms) {
                    self.routers[from].merge(&answer, now_ms);
                    let own = self.routers[from].shared_records(now_ms);
                    if self.reaches(from, to, now_ms) {
                        self.routers[to].merge(&own, now_ms);
                    }
                }
            }
        }
    }
}

/// How long after its third crash, and after the end of a partition, the last router refuses a request.
fn play(routers: usize, loss: f64, partition_ms: u64, seed: u64) -> u64 {
    let crashes = [0, 400, 800];
    let since_ms = crashes[2] + partition_ms;
    let mut fleet = Fleet {
        routers: vec![CrashEvidence::default(); routers],
        messages: Vec::new(),
        random: ChaCha8Rng::seed_from_u64(seed),
        loss,
        parted_until_ms: if partition_ms > 0 { since_ms } else { 0 },
    };
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        if let Some(server) = crashes.iter().position(|at_ms| *at_ms == now_ms) {
            let router = fleet.random.random_range(0..routers);
            let record = fleet.routers[router].note_crash(fingerprint(1), server as u64, now_ms);
            fleet.tell(router, &[record.expect("new")], now_ms);
        }
        fleet.deliver(now_ms);
        if now_ms % 240 == 0 {
            fleet.compare(now_ms);
        }
        let mut all = fleet.routers.iter();
        let all = all.all(|one| one.crashes(fingerprint(1)) >= MAX_CRASHES);
        if now_ms >= since_ms && all {
            return now_ms - since_ms;
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
