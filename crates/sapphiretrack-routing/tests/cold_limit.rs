//! The limit on requests to cold servers, which routers keep without messages about it: they only know
//! from heartbeats which others are live, and may disagree.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::RouterId;
use sapphiretrack_routing::{
    ColdLimit, ColdPace, Heartbeat, ListedRouter, ListingAdvert, PeerTable, RouterState,
    SentPrompts,
};

/// The limit of the deployment that sets one: 11 requests per second, half as many on top, and 5.
const LIMIT: ColdLimit = ColdLimit {
    requests_per_s: 21.5,
};
const HEARTBEAT_MS: u64 = 250;
const STEP_MS: u64 = 25;
const END_MS: u64 = 16_000;

/// Troubles of a run; shares are of the routers.
#[derive(Clone, Copy, Debug, Default)]
struct Troubles {
    routers: usize,
    /// Routers killed at once, each back after 0.5 to 3 s.
    killed: f64,
    /// Routers cut off from all other routers, but not from callers and servers.
    cut: f64,
    /// Routers that stand still between the decision and the write of a request, and wake together.
    frozen: f64,
    /// Heartbeats that are lost.
    lost: f64,
}

struct Router {
    name: String,
    peers: PeerTable,
    pace: ColdPace,
    started_ms: u64,
    down_until_ms: u64,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    /// Whether a request that was allowed before the freeze is written after it.
    has_held_request: bool,
    sequence: u64,
}

impl Router {
    fn new(index: usize) -> Self {
        Self {
            name: format!("router-{index}"),
            peers: PeerTable::default(),
            pace: ColdPace::default(),
            started_ms: 0,
            down_until_ms: 0,
            cut_until_ms: 0,
            frozen_until_ms: 0,
            has_held_request: false,
            sequence: 0,
        }
    }

    /// Starts a run that knows the other routers from the store's list only.
    fn start(&mut self, names: &[String], now_ms: u64) {
        self.peers = PeerTable::default();
        self.peers.set_heartbeat_interval(HEARTBEAT_MS);
        self.pace = ColdPace::default();
        self.started_ms = now_ms;
        let others = names.iter().filter(|name| **name != self.name);
        let listed = others.map(|name| ListedRouter {
            name: name.clone(),
            address: "10.0.0.1:9".parse().expect("an address"),
            zone: None,
            cpu_millicores: None,
        });
        self.peers.record_listed(listed, now_ms);
    }

    fn runs(&self, now_ms: u64) -> bool {
        now_ms >= self.down_until_ms && now_ms >= self.frozen_until_ms
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let address = "10.0.0.1:9".parse().expect("an address");
        Heartbeat {
            name: self.name.clone(),
            incarnation: self.started_ms,
            sequence: self.sequence,
            zone: "z".to_owned(),
            cpu_millicores: 250,
            caller_address: address,
            peer_address: address,
            state: RouterState::Ready,
            loads: Vec::new(),
            has_prefixes: false,
            sent: SentPrompts::default(),
            is_store_failing: false,
            configuration: ListingAdvert::default(),
            servers: ListingAdvert::default(),
        }
    }

    /// Sends as many requests to the cold server as are allowed now. Returns their number.
    fn send(&mut self, key: u64, now_ms: u64) -> usize {
        let mut sent = usize::from(std::mem::take(&mut self.has_held_request));
        let Some(share) = LIMIT.share(self.peers.fleet_size()) else {
            return sent;
        };
        if self.pace.needs_check(now_ms) {
            let is_owner = self.peers.is_owner(key, &self.name, share.owners, now_ms);
            let is_new = self.started_ms > 0 && now_ms < self.started_ms + 2_000;
            self.pace.record_owner(is_owner, is_new, share, now_ms);
        }
        while self.pace.try_send(share, now_ms) {
            sent += 1;
        }
        sent
    }
}

/// Plays a run in which every router always has requests for one cold server. Returns the times at which
/// requests are written.
fn play(troubles: Troubles, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut routers: Vec<Router> = (0..troubles.routers).map(Router::new).collect();
    let names: Vec<String> = routers.iter().map(|router| router.name.clone()).collect();
    for router in &mut routers {
        router.start(&names, 0);
    }
    let key = RouterId::from_name(&format!("server-{seed}")).0;
    let mut times_ms = Vec::new();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        if now_ms == 5_000 {
            for router in &mut routers {
                if rng.random_bool(troubles.killed) {
                    router.down_until_ms = now_ms + rng.random_range(500..3_000);
                }
                if rng.random_bool(troubles.cut) {
                    router.cut_until_ms = now_ms + rng.random_range(1_000..6_000);
                }
                if rng.random_bool(troubles.frozen) {
                    router.frozen_until_ms = 7_000;
                    router.has_held_request = router.pace.is_due(now_ms);
                }
            }
        }
        for router in &mut routers {
            if router.down_until_ms > 0 && now_ms >= router.down_until_ms {
                router.down_until_ms = 0;
                router.start(&names, now_ms);
            }
        }
        for sender in 0..routers.len() {
            let turn = now_ms / STEP_MS + sender as u64;
            let is_due = turn.is_multiple_of(HEARTBEAT_MS / STEP_MS);
            if !is_due || !routers[sender].runs(now_ms) || now_ms < routers[sender].cut_until_ms {
                continue;
            }
            let heartbeat = routers[sender].heartbeat();
            for (receiver, router) in routers.iter_mut().enumerate() {
                let arrives = receiver != sender
                    && router.runs(now_ms)
                    && now_ms >= router.cut_until_ms
                    && !rng.random_bool(troubles.lost);
                if arrives {
                    router.peers.record(heartbeat.clone(), now_ms);
                }
            }
        }
        for router in &mut routers {
            if router.runs(now_ms) {
                let sent = router.send(key, now_ms);
                times_ms.extend(std::iter::repeat_n(now_ms, sent));
            }
        }
    }
    times_ms
}

/// Returns the most requests within any second.
fn busiest_second(times_ms: &[u64]) -> usize {
    let starts = times_ms.iter().enumerate();
    let counts = starts.map(|(index, start_ms)| {
        let later = times_ms[index..].iter();
        later
            .take_while(|time_ms| **time_ms < start_ms + 1_000)
            .count()
    });
    counts.max().unwrap_or(0)
}

fn assert_limit(troubles: Troubles, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let busiest = busiest_second(&play(troubles, seed));
        assert!(
            busiest as f64 <= LIMIT.requests_per_s,
            "{busiest} requests in a second: {troubles:?}, seed {seed}"
        );
    }
}

#[test]
fn a_cold_server_gets_half_of_its_limit_while_routers_agree() {
    for routers in [1, 2, 3, 9, 30, 68] {
        let times_ms = play(
            Troubles {
                routers,
                ..Troubles::default()
            },
            1,
        );
        let seconds = END_MS as f64 / 1_000.0;
        let rate = times_ms.len() as f64 / seconds;
        assert!(
            (6.0..=10.5).contains(&rate),
            "{rate} requests per second from {routers} routers"
        );
        assert!(busiest_second(&times_ms) <= 10, "{routers} routers");
    }
}

/// Pattern: half of the routers are killed at once and come back one by one.
#[test]
fn the_limit_holds_while_half_of_the_routers_are_killed() {
    for routers in [3, 9, 40] {
        let killed = 0.5;
        let lost = 0.05;
        assert_limit(
            Troubles {
                routers,
                killed,
                lost,
                ..Troubles::default()
            },
            0..12,
        );
    }
}

/// Pattern: routers are cut off from the others and each believes to be the only one.
#[test]
fn the_limit_holds_while_routers_are_cut_off_from_the_others() {
    for (routers, cut) in [(3, 0.5), (9, 0.35), (40, 0.35), (40, 0.7)] {
        assert_limit(
            Troubles {
                routers,
                cut,
                ..Troubles::default()
            },
            0..12,
        );
    }
}

/// Pattern: routers stand still for 2 s after they decided to send, then all write at once.
#[test]
fn the_limit_holds_when_frozen_routers_wake_together() {
    for (routers, frozen) in [(3, 0.7), (9, 0.5), (40, 0.3), (40, 0.6)] {
        assert_limit(
            Troubles {
                routers,
                frozen,
                ..Troubles::default()
            },
            0..12,
        );
    }
}

#[test]
fn the_limit_holds_while_all_of_that_comes_together() {
    for routers in [9, 30] {
        assert_limit(
            Troubles {
                routers,
                killed: 0.3,
                cut: 0.2,
                frozen: 0.2,
                lost: 0.1,
            },
            0..12,
        );
    }
}

#[test]
fn shares_add_up_to_half_of_the_limit_in_fleets_of_any_size() {
    for requests_per_s in [0.0, 1.9, 2.0, 4.0, 21.5, 200.0] {
        for routers in [0, 1, 2, 3, 7, 68, 1_000] {
            let limit = ColdLimit { requests_per_s };
            let Some(share) = limit.share(routers) else {
                assert!(requests_per_s < 2.0);
                continue;
            };
            let per_owner = 1_000 / share.interval_ms + 1;
            let sum = share.owners as u64 * per_owner;
            assert!(
                2.0 * sum as f64 <= requests_per_s,
                "{requests_per_s} {routers} {share:?}"
            );
            assert!(share.owners <= routers.max(1));
        }
    }
}
