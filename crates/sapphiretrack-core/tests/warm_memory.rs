//! Hints that routers exchange about cached chats: sent with their ages and merged by age.

use std::net::SocketAddr;

use sapphiretrack_core::{
    ChatKey, LostRouters, PlacementMemory, RouterId, RouterView, ServerId, VmState, WarmHint,
    WarmList, keep_newest,
};

fn hint(server: u64, age_ms: u64) -> WarmHint {
    WarmHint {
        server: ServerId(server),
        incarnation: 1,
        tokens: 900,
        age_ms,
    }
}

fn server_of(memory: &PlacementMemory, chat: u64, now_ms: u64) -> Option<u64> {
    let hint = memory.get(ChatKey(chat), now_ms)?;
    Some(hint.server.0)
}

#[test]
fn merging_keeps_newer_hints() {
    let mut memory = PlacementMemory::new(8);
    memory.insert(ChatKey(1), hint(1, 0), 50_000);
    assert!(!memory.merge(ChatKey(1), hint(2, 20_000), 60_000));
    assert_eq!(server_of(&memory, 1, 60_000), Some(1));
    assert!(memory.merge(ChatKey(1), hint(3, 5_000), 60_000));
    assert_eq!(server_of(&memory, 1, 60_000), Some(3));
    // A full bucket accepts only a hint that is newer than its oldest entry.
    for chat in 2..=8 {
        memory.insert(ChatKey(chat), hint(1, 0), 58_000);
    }
    assert!(!memory.merge(ChatKey(9), hint(4, 30_000), 60_000));
    assert!(memory.merge(ChatKey(9), hint(4, 0), 60_000));
    assert_eq!(server_of(&memory, 1, 60_000), None);
    assert_eq!(memory.len(), 8);
}

#[test]
fn a_router_that_has_just_started_keeps_the_ages_of_received_hints() {
    let mut memory = PlacementMemory::new(8);
    memory.merge(ChatKey(1), hint(1, 600_000), 2_000);
    assert!(!memory.merge(ChatKey(1), hint(2, 900_000), 2_000));
    let kept = memory.get(ChatKey(1), 3_000).expect("it is stored");
    assert_eq!((kept.server, kept.age_ms), (ServerId(1), 601_000));
}

#[test]
fn forwarding_hints_in_a_list_never_lowers_their_ages() {
    let mut memory = PlacementMemory::new(1_000);
    for chat in 1..=100 {
        memory.insert(ChatKey(chat), hint(chat % 3, 0), chat * 1_000 + 1);
    }
    let mut hints: Vec<_> = memory
        .in_buckets(0..memory.buckets(), 60_000, 100_500)
        .collect();
    assert_eq!(hints.len(), 60, "older hints are left out");
    keep_newest(&mut hints, 10);
    let list = WarmList::new(hints);
    assert_eq!(list.servers.len(), 3);
    let mut ages: Vec<_> = list
        .hints(1_000)
        .map(|(chat, hint)| (chat.0, hint.age_ms))
        .collect();
    ages.sort_unstable();
    let expected = (91..=100).map(|chat| (chat, (101 - chat) * 1_000 + 1_000));
    assert_eq!(ages, expected.collect::<Vec<_>>());
}

#[test]
fn a_chat_whose_server_is_not_listed_is_skipped() {
    let mut list = WarmList::new([(ChatKey(1), hint(1, 0)), (ChatKey(2), hint(2, 0))]);
    list.servers.pop();
    assert_eq!(list.hints(0).count(), 1);
}

#[test]
fn a_peer_that_stopped_as_planned_is_not_reported_as_lost() {
    let me = RouterId::from_name("router-0");
    let view = |index: u16, state| RouterView {
        id: RouterId::from_name(&format!("router-{index}")),
        name: format!("router-{index}"),
        zone: String::new(),
        caller_address: SocketAddr::from(([127, 0, 0, 1], index)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], index)),
        operator_address: SocketAddr::from(([127, 0, 0, 1], index)),
        state,
        config_version: 0,
    };
    let all = [0, 1, 2].map(|index| view(index, VmState::Live));
    let mut lost = LostRouters::default();
    assert_eq!(lost.update(&all, me, 0), []);
    let leaving = [all[0].clone(), all[1].clone(), view(2, VmState::Leaving)];
    assert_eq!(lost.update(&leaving, me, 1_000), []);
    assert_eq!(
        lost.update(&all[..1], me, 2_000),
        [all[1].id],
        "only the killed router"
    );
    assert_eq!(lost.update(&all[..2], me, 3_000), []);
    assert_eq!(
        lost.update(&all[..1], me, 4_000),
        [],
        "not again within a minute"
    );
}
