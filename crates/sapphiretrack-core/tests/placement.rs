//! Ranking, the bound, the placement memory and the short wait.

use std::net::SocketAddr;

use sapphiretrack_core::{
    AskMemory, AskSettings, ChatKey, DrainSettings, FullServer, LoadBound, LoadReport,
    MEMORY_BYTES_PER_CHAT, PlacementMemory, PlacementRequest, PlacementSettings, PoolKind,
    PoolLoad, PoolView, RouterId, SHED_BELOW_SHARE, SeenLoad, SentTokens, ServerId, ServerView,
    ToldLoad, UNKNOWN_INCARNATION, VmState, WaitSettings, WarmHint, WorkspaceKey, WorkspaceShares,
    ask_again, backlog_tokens, pool_load, rank_servers, server_limit, wait_for_room,
    wait_for_steward, with_most_servers,
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
fn a_returning_chat_goes_where_it_is_warm_and_a_join_moves_none() {
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
fn a_full_warm_server_is_imported_from() {
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
fn a_restarted_server_is_no_longer_warm_nor_imported_from() {
    let mut pool = pool(12);
    pool.servers[2].report.incarnation = 2;
    let warm = [hint(3)];
    let ranked = rank_servers(&PlacementSettings::default(), &pool, &request(&warm));
    assert!(
        ranked
            .iter()
            .all(|one| !one.warm && one.import_from.is_none())
    );
}

#[test]
fn a_place_noted_before_its_server_was_first_heard_counts_after_that() {
    let warm = [WarmHint {
        incarnation: UNKNOWN_INCARNATION,
        ..hint(3)
    }];
    let ranked = rank_servers(&PlacementSettings::default(), &pool(12), &request(&warm));
    assert!(ranked[0].warm && ranked[0].server == ServerId(3));
}

#[test]
fn joining_and_leaving_servers_take_nothing_new() {
    let mut pool = pool(4);
    pool.servers[0].is_joining = true;
    pool.servers[1].state = VmState::Leaving;
    let ranked = rank_servers(&PlacementSettings::default(), &pool, &request(&[]));
    let mut ids: Vec<u64> = ranked.iter().map(|one| one.server.0).collect();
    ids.sort_unstable();
    assert_eq!(ids, [3, 4]);
}

#[test]
fn the_bound_is_never_passed_by_a_fraction_and_never_stops_a_pool_below_it() {
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
            let emptiest = in_flight / 12;
            let is_shed = share < SHED_BELOW_SHARE;
            let ceiling = (f64::from(bound.ceiling_requests) * share).floor() as u32;
            assert!(limit <= ceiling);
            assert!(is_shed || emptiest < limit || limit == ceiling);
        }
    }
}

#[test]
fn a_pool_is_never_counted_above_what_can_still_be_in_flight() {
    let settings = DrainSettings::default();
    let seen = |age_ms| SeenLoad {
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
fn the_memory_holds_its_chats_in_64_bytes_each_and_forgets_the_oldest() {
    let chats = 10_000;
    let mut memory = PlacementMemory::new(chats);
    for chat in 1..=chats as u64 {
        memory.remember(
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
        small.remember(ChatKey(chat), hint(chat), chat * 1_000);
    }
    assert_eq!(small.recall(ChatKey(1), 9_000), None);
    assert_eq!(small.len(), 8);
    let recalled = small
        .recall(ChatKey(2), 9_000)
        .expect("it is newer than the oldest");
    assert_eq!((recalled.server, recalled.age_ms), (ServerId(2), 7_000));
}

#[test]
fn a_wait_is_only_entered_when_it_is_expected_to_be_met() {
    let settings = WaitSettings {
        deadline_fraction: 0.5,
        ..WaitSettings::default()
    };
    assert_eq!(wait_for_room(&settings, 0, 0, 60_000), None);
    assert_eq!(wait_for_room(&settings, 1, 0, 60_000), None);
    assert_eq!(wait_for_room(&settings, 100, 0, 60_000), Some(100));
    assert_eq!(
        wait_for_room(&settings, 100, settings.max_total_ms, 60_000),
        None
    );
    assert_eq!(wait_for_room(&settings, 100, 0, 150), None);
}

#[test]
fn a_wait_for_a_steward_gets_longer_and_ends() {
    let settings = WaitSettings {
        deadline_fraction: 0.5,
        ..WaitSettings::default()
    };
    let mut waited_ms = 0;
    let mut waits = Vec::new();
    while let Some(wait_ms) = wait_for_steward(&settings, waited_ms, 60_000) {
        waits.push(wait_ms);
        waited_ms += wait_ms;
    }
    assert_eq!(waits, [40, 40, 80, 160, 320, 640]);
    assert_eq!(wait_for_steward(&settings, 0, 79), None);
    assert_eq!(wait_for_steward(&settings, 0, 80), Some(40));
}

#[test]
fn waits_add_up_to_no_more_than_their_part_of_the_deadline() {
    let settings = WaitSettings::default();
    for (deadline_ms, in_flight) in [(1_000, 32), (2_000, 32), (2_000, 128), (3_000, 500)] {
        let mut waited_ms = 0;
        while let Some(wait_ms) =
            wait_for_room(&settings, in_flight, waited_ms, deadline_ms - waited_ms)
        {
            waited_ms += wait_ms;
        }
        assert!(waited_ms > 0);
        let part_ms = (deadline_ms as f64 * settings.deadline_fraction) as u64;
        assert!(waited_ms <= part_ms, "{waited_ms} of {deadline_ms}");
    }
}

#[test]
fn lower_classes_leave_headroom_at_the_ceiling_too() {
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
fn the_backlog_is_the_report_worked_off_and_own_sends_since() {
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
fn a_surging_workspace_spreads_and_then_shrinks_again() {
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
        shares.note(WorkspaceKey(step), 0);
        share = shares.note(WorkspaceKey(1_000), 0);
    }
    assert_eq!(homes(0.01), settings.subset_servers);
    assert!(
        homes(share) > 30,
        "a workspace with half of the load has {}",
        homes(share)
    );
    for step in 0..400 {
        shares.note(WorkspaceKey(step), 120_000);
    }
    let later = shares.note(WorkspaceKey(1_000), 120_000);
    assert_eq!(homes(later), settings.subset_servers);
}

#[test]
fn a_steward_that_refused_by_old_counts_is_told_the_load_of_now() {
    let bound = LoadBound::default();
    let now = PoolLoad {
        least_in_flight: 95,
        in_flight: 95,
        live_servers: 12,
        open_servers: 12,
    };
    let old = PoolLoad {
        least_in_flight: 70,
        ..now
    };
    let mut refusals = [8, 10].map(|held| FullServer {
        held,
        live_servers: 12,
        ..FullServer::default()
    });
    assert_eq!(server_limit(&bound, &old, 1.0), 8);
    let told = ask_again(&bound, &now, 1.0, refusals[0]).expect("there is room");
    assert_eq!(server_limit(&bound, &old.with_told(told), 1.0), 10);
    // What the steward knows itself is never lowered.
    assert_eq!(now.with_told(ToldLoad::default()), now);
    assert_eq!(ask_again(&bound, &now, 1.0, refusals[1]), None);
    // A server that only one steward knows counts for all.
    refusals[1].live_servers = 14;
    with_most_servers(refusals.iter_mut());
    assert_eq!(ask_again(&bound, &now, 1.0, refusals[0]), None);
}

#[test]
fn a_steward_that_did_not_help_is_passed_over_for_a_moment() {
    let settings = AskSettings::default();
    let mut memory = AskMemory::new(settings);
    let [one, other] = [RouterId(1), RouterId(2)];
    let [first, second] = [ServerId(1), ServerId(2)];
    memory.note_silent(one, 0);
    memory.note_not_steward(other, first, 0);
    assert!(!memory.may_ask(one, first, settings.silent_ms - 1));
    assert!(!memory.may_ask(other, first, settings.not_steward_ms - 1));
    assert!(memory.may_ask(other, second, 0));
    assert!(memory.may_ask(one, first, settings.silent_ms));
    assert!(memory.may_ask(other, first, settings.not_steward_ms));
    memory.note_silent(one, 2_000);
    memory.note_seen(one);
    assert!(memory.may_ask(one, first, 2_000));
}
