//! Compact identifiers, derived from names by hashing.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Identifies a router VM by the hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouterId(pub u64);

impl RouterId {
    /// The id of the router with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifies a backend server VM by the hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The id of the backend server with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifies a workspace of a customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkspaceKey(pub u64);

impl WorkspaceKey {
    /// The key of a customer's workspace.
    pub fn new(customer: &str, workspace: &str) -> Self {
        Self(hash_parts(&[customer.as_bytes(), workspace.as_bytes()]))
    }
}

/// Identifies a chat inside its workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// The key of a chat from the caller's chat id, or from the chat's opening text without one.
    pub fn new(workspace: WorkspaceKey, chat: &str) -> Self {
        Self(hash_parts(&[&workspace.0.to_le_bytes(), chat.as_bytes()]))
    }
}

/// Identifies a slot reservation; unique within an incarnation of the requesting router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReservationId(pub u32);

impl ReservationId {
    /// Whether this id is `next` or a later one. Ids wrap around: the half of them from `next` on
    /// counts as later, the other half as earlier.
    pub fn is_at_or_after(self, next: u32) -> bool {
        self.0.wrapping_sub(next) <= u32::MAX / 2
    }
}

/// Identifies one attempt to run a request on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId(pub u128);

impl std::fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Hashes a sequence of parts, each with its length, so that different splits of the same bytes
/// have different hashes.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
