//! Cells: a workspace belongs to one or a few cells, a chat to one, a cell to its routers.

use crate::{ChatKey, RouterId, WorkspaceKey, rendezvous_score, top_by_rendezvous};

/// Identifies a cell of a region.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CellId(pub u64);

/// A cell with its share of the region's work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Which.
    pub id: CellId,
    /// Its weight, by the number of its backend servers; a cell of weight 0 takes nothing new.
    pub weight: f64,
}

/// The cells of a workspace, `count` of them at most, the first choice first.
///
/// A cell that joins takes over only its own share of the workspaces; one that leaves gives its
/// share to the next choice of each.
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

/// The cell of a chat, among those of its workspace.
pub fn cell_of_chat(chat: ChatKey, workspace_cells: &[CellId]) -> Option<CellId> {
    workspace_cells.iter().copied().max_by(|a, b| {
        rendezvous_score(chat.0, a.0, 1.0)
            .total_cmp(&rendezvous_score(chat.0, b.0, 1.0))
            .then(a.cmp(b))
    })
}

/// The routers of a cell in the order in which a workspace's callers try them.
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
