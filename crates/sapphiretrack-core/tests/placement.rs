//! Ranking of servers, the load bound, the placement memory and waits for a slot.

use std::net::SocketAddr;

use sapphiretrack_core::{
    ChatKey, DrainSettings, FullServer, LoadBound, LoadReport, MEMORY_BYTES_PER_CHAT,
    PlacementMemory, PlacementRequest, PlacementSettings, PoolKind, PoolLoad, PoolView,
    RequesterLoad, RouterId, RouterLoad, SHED_BELOW_SHARE, SentTokens, ServerId, ServerView,
    StewardBackoff, StewardBackoffSettings, UNKNOWN_INCARNATION, VmState, WaitSettings, WarmHint,
    WorkspaceKey, WorkspaceShares, backlog_tokens, capacity_retry_delay_ms,
    load_for_repeated_request, pool_load, raise_live_servers_to_max, rank_servers, server_limit,
    steward_retry_delay_ms,
};

fn server(id: u64) -> ServerView {
    ServerView {
        id: ServerId(id),
        name: String::new(),
        zone: String::new(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: VmState::Live,
        in_flight: 5,
        report: LoadReport {
            incarnation: 1,
            ..LoadReport::default()
        },
        steward: RouterId(1),
        is_joining: false,
        backlog_tokens: 0,
    }
}

fn pool(servers: u64) -> PoolView {
    PoolView {
        name: String::from("model"),
        kind: PoolKind::Engine,
        servers: (1..=servers).map(server).collect(),
    }
}

fn request(warm: &[WarmHint]) -> PlacementRequest<'_> {
    PlacementRequest {
        workspace: WorkspaceKey(11),
        workspace_share: 0.1,
        chat: ChatKey(12),
        prompt_tokens: 1_000,
        warm,
        bound_share: 1.0,
        zone: "",
    }
}

fn hint(server: u64) -> WarmHint {
    WarmHint {
        server: ServerId(server),
        incarnation: 1,
        tokens: 1_000,
        age_ms: 0,
    }
}

#[test]
fn a_returning_chat_is_placed_where_it_is_cached_even_after_a_server_joins() {
    let settings = PlacementSettings::default();
    for id in 1..=12 {
        let warm = [hint(id)];
        let before = rank_servers(&settings, &pool(12), &request(&warm));
        let after = rank_servers(&settings, &pool(13), &request(&warm));
        assert_eq!(before[0].server, ServerId(id));
        assert_eq!(after[0].server, ServerId(id));
        assert!(before[0].warm && before[0].import_from.is_none());
    }
}

#[test]
fn a_chat_is_imported_from_a_full_server_that_has_it_cached() {
    let mut pool = pool(12);
    pool.servers[2].in_flight = 60;
    let warm = [hint(3)];
    let ranked = rank_servers(&PlacementSettings::default(), &pool, &request(&warm));
    assert_eq!(ranked[0].import_from, Some(ServerId(3)));
    assert!(
        ranked
            .last()
            .is_some_and(|last| last.server == ServerId(3) && last.full)
    );
}

#[test]
fn a_restarted_server_is_neither_warm_nor_an_import_source() {
    let mut pool = pool(12);
    pool.servers[2].report.incarnation = 2;
    let warm = [hint(3)];
    let ranked = rank_servers(&PlacementSettings::default(), &pool, &request(&warm));
    assert!(
        ranked
            .iter()
            .all(|candidate| !candidate.warm && candidate.import_from.is_none())
    );
}

#[test]
fn a_hint_recorded_before_the_servers_first_report_stays_valid() {
    let warm = [WarmHint {
        incarnation: UNKNOWN_INCARNATION,
        ..hint(3)
    }];
    let ranked = rank_servers(&PlacementSettings::default(), &pool(12), &request(&warm));
    assert!(ranked[0].warm && ranked[0].server == ServerId(3));
}

#[test]
fn joining_and_leaving_servers_are_not_ranked() {
    let mut pool = pool(4);
    pool.servers[0].is_joining = true;
    pool.servers[1].state = VmState::Leaving;
    let ranked = rank_servers(&PlacementSettings::default(), &pool, &request(&[]));
    let mut ids: Vec<u64> = ranked.iter().map(|candidate| candidate.server.0).collect();
    ids.sort_unstable();
    assert_eq!(ids, [3, 4]);
}

#[test]
fn the_bound_is_never_exceeded_and_stops_no_pool_below_it() {
    let bound = LoadBound::default();
    for in_flight in 0..2_000 {
        let load = PoolLoad {
            least_in_flight: in_flight,
            in_flight,
            live_servers: 12,
            open_servers: 12,
        };
        let mean = f64::from(in_flight + 1) / 12.0;
        for share in [0.5, 0.9, 1.0] {
            let limit = server_limit(&bound, &load, share);
            let multiple = bound.load_multiple * mean;
            assert!(f64::from(limit) <= multiple.max(f64::from(bound.floor_requests)));
            let least_loaded = in_flight / 12;
            let is_shed = share < SHED_BELOW_SHARE;
            let ceiling = (f64::from(bound.ceiling_requests) * share).floor() as u32;
            assert!(limit <= ceiling);
            assert!(is_shed || least_loaded < limit || limit == ceiling);
        }
    }
}

#[test]
fn the_least_pool_load_decreases_with_the_age_of_the_counts() {
    let settings = DrainSettings::default();
    let seen = |age_ms| RouterLoad {
        in_flight: 100,
        age_ms,
    };
    let fresh = pool_load(&settings, 5, [seen(0)]);
    assert_eq!((fresh.least_in_flight, fresh.in_flight), (105, 105));
    let half = pool_load(&settings, 5, [seen(settings.drain_ms / 2)]);
    assert!(half.least_in_flight < 55);
    let old = pool_load(&settings, 5, [seen(settings.drain_ms * 2)]);
    assert_eq!(old.least_in_flight, 5);
}

#[test]
fn the_memory_takes_at_most_64_bytes_per_chat_and_replaces_the_oldest() {
    let chats = 10_000;
    let mut memory = PlacementMemory::new(chats);
    for chat in 1..=chats as u64 {
        memory.insert(
            ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            hint(1),
            chat * 1_000,
        );
    }
    let per_chat = memory.bytes() as f64 / memory.len() as f64;
    assert!(
        MEMORY_BYTES_PER_CHAT <= 64 && per_chat <= 64.0,
        "{per_chat} bytes a chat"
    );
    let mut small = PlacementMemory::new(8);
    for chat in 1..=9 {
        small.insert(ChatKey(chat), hint(chat), chat * 1_000);
    }
    assert_eq!(small.get(ChatKey(1), 9_000), None);
    assert_eq!(small.len(), 8);
    let found = small
        .get(ChatKey(2), 9_000)
        .expect("it is not the oldest entry");
    assert_eq!((found.server, found.age_ms), (ServerId(2), 7_000));
}

#[test]
fn a_request_waits_only_if_capacity_is_expected_in_time() {
    let settings = WaitSettings {
        deadline_fraction: 0.5,
        ..WaitSettings::default()
    };
    assert_eq!(capacity_retry_delay_ms(&settings, 0, 0, 60_000), None);
    assert_eq!(capacity_retry_delay_ms(&settings, 1, 0, 60_000), None);
    assert_eq!(
        capacity_retry_delay_ms(&settings, 100, 0, 60_000),
        Some(100)
    );
    assert_eq!(
        capacity_retry_delay_ms(&settings, 100, settings.max_total_ms, 60_000),
        None
    );
    assert_eq!(capacity_retry_delay_ms(&settings, 100, 0, 150), None);
}

#[test]
fn waits_for_a_steward_get_longer_and_end() {
    let settings = WaitSettings {
        deadline_fraction: 0.5,
        ..WaitSettings::default()
    };
    let mut waited_ms = 0;
    let mut waits = Vec::new();
    while let Some(wait_ms) = steward_retry_delay_ms(&settings, waited_ms, 60_000) {
        waits.push(wait_ms);
        waited_ms += wait_ms;
    }
    assert_eq!(waits, [40, 40, 80, 160, 320, 640]);
    assert_eq!(steward_retry_delay_ms(&settings, 0, 79), None);
    assert_eq!(steward_retry_delay_ms(&settings, 0, 80), Some(40));
}

#[test]
fn the_total_wait_stays_within_its_fraction_of_the_deadline() {
    let settings = WaitSettings::default();
    for (deadline_ms, in_flight) in [(1_000, 32), (2_000, 32), (2_000, 128), (3_000, 500)] {
        let mut waited_ms = 0;
        while let Some(wait_ms) =
            capacity_retry_delay_ms(&settings, in_flight, waited_ms, deadline_ms - waited_ms)
        {
            waited_ms += wait_ms;
        }
        assert!(waited_ms > 0);
        let allowed_ms = (deadline_ms as f64 * settings.deadline_fraction) as u64;
        assert!(waited_ms <= allowed_ms, "{waited_ms} of {deadline_ms}");
    }
}

#[test]
fn less_urgent_classes_leave_headroom_at_the_ceiling_too() {
    let bound = LoadBound::default();
    let load = PoolLoad {
        least_in_flight: 10_000,
        in_flight: 10_000,
        live_servers: 12,
        open_servers: 12,
    };
    let limits = [1.0, 0.9, 0.81].map(|share| server_limit(&bound, &load, share));
    assert_eq!(limits, [64, 57, 51]);
}

#[test]
fn the_backlog_is_the_report_plus_later_sends_minus_computed_tokens() {
    let settings = PlacementSettings::default();
    let sent = |age_ms| SentTokens {
        tokens: 1_000,
        age_ms,
    };
    assert_eq!(backlog_tokens(&settings, 4_000, 500, []), 2_000);
    let corrected = backlog_tokens(&settings, 4_000, 500, [sent(400), sent(600)]);
    assert_eq!(corrected, 3_000);
    assert_eq!(backlog_tokens(&settings, 4_000, 60_000, []), 0);
}

#[test]
fn the_subset_of_a_workspace_grows_and_shrinks_with_its_load() {
    let settings = PlacementSettings::default();
    let mut shares = WorkspaceShares::default();
    let homes = |share: f64| {
        let mut homes: Vec<ServerId> = (1..400)
            .map(|chat| {
                let request = PlacementRequest {
                    chat: ChatKey(chat),
                    workspace_share: share,
                    ..request(&[])
                };
                rank_servers(&settings, &pool(40), &request)[0].server
            })
            .collect();
        homes.sort_unstable();
        homes.dedup();
        homes.len()
    };
    let mut share = 0.0;
    for step in 0..400 {
        shares.note_request(WorkspaceKey(step), 0);
        share = shares.note_request(WorkspaceKey(1_000), 0);
    }
    assert_eq!(homes(0.01), settings.subset_servers);
    assert!(
        homes(share) > 30,
        "a workspace with half of the load uses {} servers",
        homes(share)
    );
    for step in 0..400 {
        shares.note_request(WorkspaceKey(step), 120_000);
    }
    let later = shares.note_request(WorkspaceKey(1_000), 120_000);
    assert_eq!(homes(later), settings.subset_servers);
}

#[test]
fn a_steward_that_refused_because_of_outdated_counts_gets_the_current_load() {
    let bound = LoadBound::default();
    let current = PoolLoad {
        least_in_flight: 95,
        in_flight: 95,
        live_servers: 12,
        open_servers: 12,
    };
    let outdated = PoolLoad {
        least_in_flight: 70,
        ..current
    };
    let mut refusals = [8, 10].map(|held| FullServer {
        held,
        live_servers: 12,
        ..FullServer::default()
    });
    assert_eq!(server_limit(&bound, &outdated, 1.0), 8);
    let requester_load = load_for_repeated_request(&bound, &current, 1.0, refusals[0])
        .expect("the server has capacity");
    assert_eq!(
        server_limit(&bound, &outdated.with_requester_load(requester_load), 1.0),
        10
    );
    // The steward's own counts are never lowered.
    assert_eq!(
        current.with_requester_load(RequesterLoad::default()),
        current
    );
    assert_eq!(
        load_for_repeated_request(&bound, &current, 1.0, refusals[1]),
        None
    );
    // A server that only one steward sees counts for all servers of the pool.
    refusals[1].live_servers = 14;
    raise_live_servers_to_max(refusals.iter_mut());
    assert_eq!(
        load_for_repeated_request(&bound, &current, 1.0, refusals[0]),
        None
    );
}

#[test]
fn a_steward_that_did_not_help_is_skipped_for_a_while() {
    let settings = StewardBackoffSettings::default();
    let mut backoff = StewardBackoff::new(settings);
    let [one, other] = [RouterId(1), RouterId(2)];
    let [first, second] = [ServerId(1), ServerId(2)];
    backoff.note_silent(one, 0);
    backoff.note_not_steward(other, first, 0);
    assert!(!backoff.may_ask(one, first, settings.silent_ms - 1));
    assert!(!backoff.may_ask(other, first, settings.not_steward_ms - 1));
    assert!(backoff.may_ask(other, second, 0));
    assert!(backoff.may_ask(one, first, settings.silent_ms));
    assert!(backoff.may_ask(other, first, settings.not_steward_ms));
    backoff.note_silent(one, 2_000);
    backoff.note_seen(one);
    assert!(backoff.may_ask(one, first, 2_000));
}
