//! Assignment of workspaces and chats to cells, and its stability when cells are added or removed.

use std::collections::BTreeMap;

use sapphiretrack_core::{
    Cell, CellId, ChatKey, RouterId, WorkspaceKey, cell_of_chat, cells_of_workspace,
    routers_of_workspace,
};

fn cells(count: u64) -> Vec<Cell> {
    (0..count)
        .map(|index| Cell {
            id: CellId(index),
            weight: 40.0,
        })
        .collect()
}

fn first_cell(workspace: u64, cells: &[Cell]) -> CellId {
    cells_of_workspace(WorkspaceKey(workspace), cells, 1)[0]
}

#[test]
fn forty_five_cells_share_24_000_workspaces_evenly() {
    let cells = cells(45);
    let mut counts: BTreeMap<CellId, u32> = BTreeMap::new();
    for workspace in 0..24_000 {
        *counts.entry(first_cell(workspace, &cells)).or_default() += 1;
    }
    assert_eq!(counts.len(), 45);
    let mean = 24_000 / 45;
    assert!(
        counts.values().all(|count| count.abs_diff(mean) < mean / 4),
        "{counts:?}"
    );
}

#[test]
fn an_added_cell_moves_only_its_own_share_of_workspaces() {
    let (before, after) = (cells(45), cells(46));
    let moved: Vec<CellId> = (0..24_000)
        .filter(|workspace| first_cell(*workspace, &before) != first_cell(*workspace, &after))
        .map(|workspace| first_cell(workspace, &after))
        .collect();
    assert!(moved.iter().all(|cell| *cell == CellId(45)));
    assert!((300..800).contains(&moved.len()), "{}", moved.len());
}

#[test]
fn a_closed_cell_gets_no_workspaces_and_weights_scale_shares() {
    let mut cells = cells(10);
    cells[3].weight = 0.0;
    cells[4].weight = 80.0;
    let mut counts = [0_u32; 10];
    for workspace in 0..20_000 {
        counts[first_cell(workspace, &cells).0 as usize] += 1;
    }
    assert_eq!(counts[3], 0);
    let all = cells_of_workspace(WorkspaceKey(1), &cells, 10);
    assert_eq!(
        all.len(),
        9,
        "a closed cell is not even used as the last choice"
    );
    assert!(
        (1.7..2.3).contains(&(f64::from(counts[4]) / f64::from(counts[5]))),
        "{counts:?}"
    );
}

#[test]
fn a_chat_stays_in_its_cell_unless_that_cell_is_removed() {
    let workspace_cells = cells_of_workspace(WorkspaceKey(7), &cells(45), 3);
    assert_eq!(workspace_cells.len(), 3);
    for chat in 0..2_000 {
        let cell = cell_of_chat(ChatKey(chat), &workspace_cells).expect("a cell");
        let others: Vec<CellId> = workspace_cells
            .iter()
            .copied()
            .filter(|other| *other != cell)
            .collect();
        let kept = &workspace_cells[..2];
        if kept.contains(&cell) {
            assert_eq!(cell_of_chat(ChatKey(chat), kept), Some(cell));
        }
        assert!(cell_of_chat(ChatKey(chat), &others).is_some_and(|next| next != cell));
    }
    assert_eq!(cell_of_chat(ChatKey(1), &[]), None);
}

#[test]
fn losing_a_router_keeps_the_order_of_a_workspaces_other_routers() {
    let routers: Vec<RouterId> = (0..8).map(RouterId).collect();
    let order = routers_of_workspace(WorkspaceKey(9), &routers, 8);
    let without: Vec<RouterId> = routers
        .iter()
        .copied()
        .filter(|router| *router != order[0])
        .collect();
    assert_eq!(
        routers_of_workspace(WorkspaceKey(9), &without, 8),
        order[1..]
    );
}
