//! Load digests reach every router in bounded time in fleets of any size, even if messages are lost
//! or collectors fail.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{
    LoadCollector, LoadDigest, LoadEntry, LoadReport, LoadReporter, ZoneLoads, router_tag,
};

const ZONES: usize = 5;
/// The time between two reports of a router.
const REPORT_MS: u64 = 100;
/// The time after which a collector adds up and sends loads again.
const COLLECT_MS: u64 = 100;
/// The network time of a message.
const LATENCY_MS: u64 = 1;
/// The unit of the report time that the simulation stores in `in_flight`, to measure the age of
/// loads.
const TICK_MS: u64 = 10;
/// Servers, each of which has load from one router.
const SERVERS: usize = 250;
/// The number of routers, first in the ranking of a zone, from which its collectors are chosen.
const RANKED_PER_ZONE: usize = 8;

enum Message {
    Report(LoadReport),
    Zone(ZoneLoads),
    Digest(LoadDigest),
}

struct Router {
    zone: usize,
    is_dead: bool,
    reporter: LoadReporter,
    collector: LoadCollector,
    sequence: u64,
    phase_ms: u64,
    /// Tags of the routers that the last digest lists as silent.
    silent: Vec<u32>,
}

struct Fleet {
    routers: Vec<Router>,
    random: ChaCha8Rng,
    /// The probability that a message is lost.
    loss: f64,
    /// By zone: whether messages can neither enter nor leave it.
    is_partitioned: [bool; ZONES],
    now_ms: u64,
    /// Messages in transit: time of arrival and index in `messages`.
    queue: BinaryHeap<(std::cmp::Reverse<u64>, usize)>,
    /// Sender, recipient and content, which is taken on delivery.
    messages: Vec<(usize, usize, Option<Message>)>,
    /// Bytes that each router has sent.
    bytes: Vec<u64>,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("all addresses are IPv4");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = (0..routers).map(|index| Router {
            zone: index % ZONES,
            is_dead: false,
            reporter: LoadReporter::default(),
            collector: LoadCollector::default(),
            sequence: 0,
            phase_ms: random.random_range(0..REPORT_MS),
            silent: Vec::new(),
        });
        let routers: Vec<Router> = routers.collect();
        let bytes = vec![0; routers.len()];
        Self {
            routers,
            random,
            loss: 0.0,
            is_partitioned: [false; ZONES],
            now_ms: 0,
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            bytes,
        }
    }

    /// The routers of a zone that rank first. They include dead ones, whose failure may not be
    /// detected yet.
    fn ranked(&self, zone: usize) -> Vec<SocketAddr> {
        let members = (0..self.routers.len()).filter(|index| index % ZONES == zone);
        members.take(RANKED_PER_ZONE).map(address).collect()
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = index_of(to);
        let size = match &message {
            Message::Report(report) => 60 + report.loads.len() * 8,
            Message::Zone(zone) => 70 + zone.loads.len() * 8 + zone.live.len() * 4,
            Message::Digest(digest) => 20 + digest.loads.len() * 8 + digest.silent.len() * 4,
        };
        self.bytes[from] += size as u64;
        let (from_zone, to_zone) = (self.routers[from].zone, self.routers[to].zone);
        let is_partitioned = from_zone != to_zone
            && (self.is_partitioned[from_zone] || self.is_partitioned[to_zone]);
        let is_lost = from != to && self.random.random_bool(self.loss);
        if is_partitioned || is_lost {
            return;
        }
        self.messages.push((from, to, Some(message)));
        let arrival_ms = self.now_ms + LATENCY_MS;
        let message = self.messages.len() - 1;
        self.queue.push((std::cmp::Reverse(arrival_ms), message));
    }

    fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            while let Some((std::cmp::Reverse(at_ms), message)) = self.queue.peek().copied()
                && at_ms <= self.now_ms
            {
                self.queue.pop();
                let (from, to, message) = &mut self.messages[message];
                let (from, to) = (*from, *to);
                let message = message.take().expect("a message is delivered once");
                self.receive(from, to, message);
            }
            for index in 0..self.routers.len() {
                if !self.routers[index].is_dead {
                    self.run_timers(index);
                }
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[to];
        if router.is_dead {
            return;
        }
        match message {
            Message::Report(report) => router.collector.record_report(report, now_ms),
            Message::Zone(zone) => router.collector.record_zone(zone, now_ms),
            Message::Digest(digest) => {
                router.silent = digest.silent;
                router
                    .reporter
                    .record_digest(address(from), &digest.loads, now_ms);
            }
        }
    }

    /// Sends the report and the sums of a router when they are due.
    fn run_timers(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let (zone, phase_ms) = (self.routers[index].zone, self.routers[index].phase_ms);
        if now_ms % REPORT_MS == phase_ms {
            let ranked = self.ranked(zone);
            let is_loaded = index < SERVERS;
            let loads = is_loaded.then_some(LoadEntry {
                server: index as u32,
                in_flight: (now_ms / TICK_MS) as u16,
                prefill_units: 1,
            });
            let loads: Vec<LoadEntry> = loads.into_iter().collect();
            let router = &mut self.routers[index];
            router.reporter.record_report(&loads);
            router.sequence += 1;
            let sequence = router.sequence;
            let collectors = router.reporter.collectors(&ranked, now_ms);
            for (position, collector) in collectors.into_iter().enumerate() {
                let report = LoadReport {
                    name: format!("router-{index}"),
                    incarnation: 1,
                    sequence,
                    reply_to: (position == 0).then_some(address(index)),
                    loads: loads.clone(),
                };
                self.send(index, collector, Message::Report(report));
            }
        }
        if now_ms % COLLECT_MS == (phase_ms * 7) % COLLECT_MS {
            let name = zone.to_string();
            let collector = &mut self.routers[index].collector;
            let Some(collected) = collector.collect(&name, address(index), now_ms) else {
                return;
            };
            let mut collectors = collected.collectors;
            for zone in 0..ZONES {
                collectors.extend(self.ranked(zone).into_iter().take(2));
            }
            collectors.sort_unstable();
            collectors.dedup();
            collectors.retain(|collector| *collector != address(index));
            for collector in collectors {
                self.send(index, collector, Message::Zone(collected.zone.clone()));
            }
            for reporter in collected.reporters {
                self.send(index, reporter, Message::Digest(collected.digest.clone()));
            }
        }
    }

    /// The sorted ages in milliseconds of the loads that live routers of these zones put on
    /// servers, as seen by live routers of the same zones, and the number of missing loads.
    fn ages(&self, zones: &[usize]) -> (Vec<u64>, usize) {
        let is_included = |index: &usize| {
            let router = &self.routers[*index];
            !router.is_dead && zones.contains(&router.zone)
        };
        let (mut ages, mut missing) = (Vec::new(), 0);
        for observer in (0..self.routers.len()).filter(is_included) {
            let Some(loads) = self.routers[observer].reporter.loads(self.now_ms) else {
                missing += 1;
                continue;
            };
            let servers = (0..SERVERS.min(self.routers.len())).filter(is_included);
            for server in servers.filter(|server| *server != observer) {
                match loads.get(&(server as u32)) {
                    Some((ticks, _)) => ages.push(self.now_ms - u64::from(*ticks) * TICK_MS),
                    None => missing += 1,
                }
            }
        }
        ages.sort_unstable();
        (ages, missing)
    }
}

fn quantile(ages: &[u64], fraction: f64) -> u64 {
    ages[((ages.len() - 1) as f64 * fraction) as usize]
}

/// The result of [`Fleet::ages`] combined over eight moments.
fn sample_ages(fleet: &mut Fleet, zones: &[usize]) -> (Vec<u64>, usize) {
    let (mut all, mut missing) = (Vec::new(), 0);
    for _ in 0..8 {
        let pause_ms = fleet.random.random_range(20..150);
        let until_ms = fleet.now_ms + pause_ms;
        fleet.run(until_ms);
        let (ages, missing_now) = fleet.ages(zones);
        all.extend(ages);
        missing += missing_now;
    }
    all.sort_unstable();
    (all, missing)
}

const ALL_ZONES: [usize; ZONES] = [0, 1, 2, 3, 4];

#[test]
fn loads_are_recent_in_fleets_of_any_size() {
    for routers in [9, 89, 295, 1_000] {
        let mut fleet = Fleet::new(routers, 5);
        fleet.run(2_000);
        let (ages, missing) = sample_ages(&mut fleet, &ALL_ZONES);
        let (median, p99) = (quantile(&ages, 0.5), quantile(&ages, 0.99));
        assert_eq!(missing, 0, "{routers} routers");
        assert!(
            median < 250 && p99 < 600,
            "{routers} routers: median {median} ms, p99 {p99} ms"
        );
    }
}

#[test]
fn few_loads_are_old_if_one_message_in_twenty_is_lost() {
    let mut fleet = Fleet::new(295, 6);
    fleet.loss = 0.05;
    fleet.run(3_000);
    let (ages, missing) = sample_ages(&mut fleet, &ALL_ZONES);
    assert!(quantile(&ages, 0.99) < 1_000);
    assert!(missing * 1_000 <= ages.len(), "{missing} of {}", ages.len());
}

#[test]
fn collectors_of_a_zone_that_all_fail_at_once_are_replaced() {
    let mut fleet = Fleet::new(295, 7);
    fleet.run(2_000);
    for index in [0, 5] {
        assert_eq!(fleet.routers[index].zone, 0);
        fleet.routers[index].is_dead = true;
    }
    fleet.run(4_500);
    let (ages, missing) = sample_ages(&mut fleet, &ALL_ZONES);
    assert_eq!(missing, 0);
    assert!(quantile(&ages, 0.99) < 600);
}

#[test]
fn a_partitioned_zone_counts_its_own_loads_and_rejoins_the_others() {
    let mut fleet = Fleet::new(295, 8);
    fleet.run(2_000);
    fleet.is_partitioned[2] = true;
    fleet.run(4_000);
    for zones in [&[2][..], &[0, 1, 3, 4]] {
        let (ages, missing) = sample_ages(&mut fleet, zones);
        assert_eq!(missing, 0, "zones {zones:?}");
        assert!(quantile(&ages, 0.99) < 600);
    }
    fleet.is_partitioned[2] = false;
    let until_ms = fleet.now_ms + 1_500;
    fleet.run(until_ms);
    let (ages, missing) = sample_ages(&mut fleet, &ALL_ZONES);
    assert_eq!(missing, 0);
    assert!(quantile(&ages, 0.99) < 600);
}

#[test]
fn all_routers_learn_of_dead_ones_within_1500_ms_and_live_ones_do_not_count_as_silent() {
    let mut fleet = Fleet::new(295, 10);
    fleet.loss = 0.02;
    fleet.run(2_000);
    let dead: Vec<usize> = (0..295).filter(|index| index % 3 == 1).collect();
    for index in &dead {
        fleet.routers[*index].is_dead = true;
    }
    fleet.run(3_500);
    let mut expected: Vec<u32> = dead.iter().map(|index| tag(*index)).collect();
    expected.sort_unstable();
    let live = fleet.routers.iter().filter(|router| !router.is_dead);
    let agreeing = live.clone().filter(|router| {
        let mut silent = router.silent.clone();
        silent.sort_unstable();
        silent.dedup();
        silent == expected
    });
    assert_eq!(agreeing.count(), live.count());
}

#[test]
fn a_router_that_reports_again_is_no_longer_silent() {
    let mut fleet = Fleet::new(89, 11);
    fleet.run(2_000);
    fleet.routers[40].is_dead = true;
    fleet.run(5_000);
    assert!(fleet.routers.iter().any(|router| !router.silent.is_empty()));
    fleet.routers[40].is_dead = false;
    fleet.run(6_000);
    assert!(fleet.routers.iter().all(|router| router.silent.is_empty()));
}

#[test]
fn a_collector_that_was_paused_reports_no_router_as_silent() {
    let mut fleet = Fleet::new(295, 12);
    fleet.run(2_000);
    fleet.routers[0].is_dead = true;
    fleet.run(6_000);
    fleet.routers[0].is_dead = false;
    fleet.run(6_700);
    let wrongly_silent = fleet.routers.iter().map(|router| {
        let others = router.silent.iter().filter(|silent| **silent != tag(0));
        others.count()
    });
    assert_eq!(wrongly_silent.sum::<usize>(), 0);
}

#[test]
fn a_router_that_reaches_one_of_two_collectors_is_not_silent() {
    let mut collectors = [LoadCollector::default(), LoadCollector::default()];
    for now_ms in (0..4_000).step_by(100) {
        for name in ["a", "b", "c"] {
            let report = LoadReport {
                name: name.to_owned(),
                incarnation: 1,
                sequence: now_ms + 1,
                reply_to: Some(address(9)),
                loads: Vec::new(),
            };
            // From 1,000 ms on "a" reports to one of them only.
            if name != "a" || now_ms < 1_000 {
                collectors[0].record_report(report.clone(), now_ms);
            }
            collectors[1].record_report(report, now_ms);
        }
        let collected = [0, 1].map(|index| {
            let collected = collectors[index].collect("z", address(index), now_ms);
            collected.expect("routers reported")
        });
        let [collected_0, collected_1] = collected;
        assert!(collected_0.digest.silent.is_empty(), "{now_ms} ms");
        collectors[0].record_zone(collected_1.zone, now_ms);
        collectors[1].record_zone(collected_0.zone, now_ms);
    }
}

fn tag(index: usize) -> u32 {
    router_tag(&format!("router-{index}"))
}

#[test]
fn nearly_all_routers_send_less_than_2_kb_per_second() {
    let mut fleet = Fleet::new(295, 9);
    fleet.run(1_000);
    fleet.bytes.iter_mut().for_each(|bytes| *bytes = 0);
    fleet.run(3_000);
    let mut bytes_per_s: Vec<u64> = fleet.bytes.iter().map(|bytes| bytes / 2).collect();
    bytes_per_s.sort_unstable();
    assert!(
        bytes_per_s[280] < 2_000,
        "{} bytes per second",
        bytes_per_s[280]
    );
}

#[test]
fn a_routers_own_load_is_not_counted_twice() {
    let mut reporter = LoadReporter::default();
    let own = LoadEntry {
        server: 1,
        in_flight: 3,
        prefill_units: 2,
    };
    reporter.record_report(&[own]);
    let total = LoadEntry {
        in_flight: 5,
        prefill_units: 7,
        ..own
    };
    reporter.record_digest(address(1), &[total], 100);
    let loads = reporter.loads(200).expect("the digest is recent");
    assert_eq!(loads[&1], (2, 5 * 64));
    assert!(reporter.loads(1_200).is_none(), "too old for placement");
}

#[test]
fn a_report_of_a_lower_incarnation_counts_once_the_higher_one_is_silent() {
    let mut collector = LoadCollector::default();
    let report = |incarnation, in_flight| LoadReport {
        name: "a".to_owned(),
        incarnation,
        sequence: 1,
        reply_to: None,
        loads: vec![LoadEntry {
            server: 1,
            in_flight,
            prefill_units: 0,
        }],
    };
    let sums = |collector: &mut LoadCollector, now_ms: u64| {
        for earlier_ms in (now_ms.saturating_sub(500)..now_ms).step_by(100) {
            collector.collect("z", address(0), earlier_ms);
        }
        let collected = collector.collect("z", address(0), now_ms);
        let total = collected.expect("routers reported").digest.loads;
        let sums = total.into_iter().map(|one| (one.server, one.in_flight));
        sums.collect::<BTreeMap<u32, u16>>()
    };
    collector.record_report(report(9_000, 4), 0);
    collector.record_report(report(5_000, 1), 500);
    assert_eq!(sums(&mut collector, 600)[&1], 4);
    collector.record_report(report(5_000, 1), 1_100);
    assert_eq!(sums(&mut collector, 1_200)[&1], 1);
}
