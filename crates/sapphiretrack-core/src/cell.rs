//! Cells: assignment of workspaces and chats to cells, and of workspaces to a cell's routers.

use crate::{ChatKey, RouterId, WorkspaceKey, rendezvous_score, top_by_rendezvous};

/// Identifies a cell of a region.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CellId(pub u64);

/// A cell and its weight in the region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// The cell.
    pub id: CellId,
    /// Its weight, from the number of its backend servers; a cell of weight 0 accepts no new work.
    pub weight: f64,
}

/// The cells of a workspace: at most `count`, in order of preference.
///
/// A cell that joins takes over only its share of the workspaces. If a cell leaves, each of its
/// workspaces moves to its next choice.
pub fn cells_of_workspace(workspace: WorkspaceKey, cells: &[Cell], count: usize) -> Vec<CellId> {
    let open: Vec<Cell> = cells
        .iter()
        .copied()
        .filter(|cell| cell.weight > 0.0)
        .collect();
    top_by_rendezvous(workspace.0, &open, count, |cell| (cell.id.0, cell.weight))
        .into_iter()
        .map(|cell| cell.id)
        .collect()
}

/// The cell of a chat, chosen from its workspace's cells.
pub fn cell_of_chat(chat: ChatKey, workspace_cells: &[CellId]) -> Option<CellId> {
    workspace_cells.iter().copied().max_by(|a, b| {
        rendezvous_score(chat.0, a.0, 1.0)
            .total_cmp(&rendezvous_score(chat.0, b.0, 1.0))
            .then(a.cmp(b))
    })
}

/// At most `count` routers of a cell, in the order in which a workspace's callers try them.
pub fn routers_of_workspace(
    workspace: WorkspaceKey,
    routers: &[RouterId],
    count: usize,
) -> Vec<RouterId> {
    top_by_rendezvous(workspace.0, routers, count, |router| (router.0, 1.0))
        .into_iter()
        .copied()
        .collect()
}
