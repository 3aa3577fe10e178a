//! Changes of a listing exchanged between routers: a log of the latest ones for routers that missed
//! some, and fragments of batches that exceed one datagram.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ServerChange, ServerChanges};

/// The latest changes of a listing. A router that missed some reads only those instead of the whole
/// listing.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    batches: VecDeque<ServerChanges>,
    changes: usize,
}

impl ChangeLog {
    /// Maximum number of changes kept.
    pub const MAX_CHANGES: usize = 4_096;

    /// Appends changes that were applied locally. If they do not continue the log, the older ones
    /// are dropped.
    pub fn record(&mut self, batch: ServerChanges) {
        let is_next = self
            .batches
            .back()
            .is_none_or(|last| batch.after <= last.version && last.version < batch.version);
        if !is_next {
            self.clear();
        }
        self.changes += batch.changes.len();
        self.batches.push_back(batch);
        while self.changes > Self::MAX_CHANGES {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.changes -= oldest.changes.len();
        }
    }

    /// Drops all changes, for when a whole listing was applied and the individual changes are
    /// unknown.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.changes = 0;
    }

    /// Returns all changes after a version; `None` if the log does not reach back that far or holds
    /// nothing newer.
    pub fn since(&self, version: u64) -> Option<ServerChanges> {
        let first = self
            .batches
            .iter()
            .position(|batch| batch.version > version)?;
        let after = self.batches[first].after;
        if after > version {
            return None;
        }
        let missing = self.batches.range(first..);
        Some(ServerChanges {
            after,
            version: self.batches.back()?.version,
            changes: missing.flat_map(|batch| &batch.changes).cloned().collect(),
        })
    }
}

/// A part of a batch of changes that does not fit into one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangesFragment {
    /// Index of the fragment, from 0.
    pub index: u16,
    /// Total number of fragments.
    pub count: u16,
    /// The changes in this fragment, with the versions of the whole batch.
    pub changes: ServerChanges,
}

impl ChangesFragment {
    /// Maximum number of fragments per batch. Larger batches are not sent: receivers read them from
    /// a router.
    pub const MAX_COUNT: usize = 64;

    /// Splits a batch so that the changes of each fragment take at most `max_bytes`, as measured by
    /// `size`. A single larger change gets a fragment of its own. Returns an empty list if more
    /// than [`Self::MAX_COUNT`] fragments would be needed.
    pub fn split<Size>(batch: ServerChanges, max_bytes: usize, size: Size) -> Vec<Self>
    where
        Size: Fn(&ServerChange) -> usize,
    {
        let (after, version) = (batch.after, batch.version);
        let mut groups: Vec<Vec<ServerChange>> = vec![Vec::new()];
        let mut bytes = 0;
        for change in batch.changes {
            let change_bytes = size(&change);
            if bytes > 0 && bytes + change_bytes > max_bytes {
                groups.push(Vec::new());
                bytes = 0;
            }
            bytes += change_bytes;
            if let Some(group) = groups.last_mut() {
                group.push(change);
            }
        }
        let count = groups.len();
        if count > Self::MAX_COUNT {
            return Vec::new();
        }
        let fragments = groups.into_iter().enumerate().map(|(index, changes)| Self {
            index: index as u16,
            count: count as u16,
            changes: ServerChanges {
                after,
                version,
                changes,
            },
        });
        fragments.collect()
    }
}

/// Reassembles fragments, which may arrive in any order and from several routers.
#[derive(Clone, Debug, Default)]
pub struct ChangesAssembly {
    /// Keyed by the versions before and after the batch; oldest first.
    batches: VecDeque<((u64, u64), PartialBatch)>,
}

#[derive(Clone, Debug)]
struct PartialBatch {
    count: u16,
    received: BTreeMap<u16, Vec<ServerChange>>,
}

impl ChangesAssembly {
    /// Maximum number of incomplete batches; when it is exceeded the oldest is dropped.
    const MAX_BATCHES: usize = 4;

    /// Adds a fragment. Returns the whole batch once its last fragment has arrived.
    pub fn add(&mut self, fragment: ChangesFragment) -> Option<ServerChanges> {
        let ChangesFragment {
            index,
            count,
            changes: batch,
        } = fragment;
        if index >= count || usize::from(count) > ChangesFragment::MAX_COUNT {
            return None;
        }
        if count == 1 {
            return Some(batch);
        }
        let key = (batch.after, batch.version);
        let known = self.batches.iter().position(|(known, _)| *known == key);
        let position = known.unwrap_or_else(|| {
            if self.batches.len() == Self::MAX_BATCHES {
                self.batches.pop_front();
            }
            let partial = PartialBatch {
                count,
                received: BTreeMap::new(),
            };
            self.batches.push_back((key, partial));
            self.batches.len() - 1
        });
        let (_, partial) = &mut self.batches[position];
        if partial.count != count {
            return None;
        }
        partial.received.insert(index, batch.changes);
        if partial.received.len() < usize::from(count) {
            return None;
        }
        let (_, complete) = self.batches.remove(position)?;
        Some(ServerChanges {
            after: key.0,
            version: key.1,
            changes: complete.received.into_values().flatten().collect(),
        })
    }

    /// Drops incomplete batches that contain nothing newer than a version.
    pub fn drop_until(&mut self, version: u64) {
        self.batches
            .retain(|((_, batch_version), _)| *batch_version > version);
    }
}
