//! Compact identifiers, derived from names by hashing.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Identifies a router VM by the hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouterId(pub u64);

impl RouterId {
    /// The id of the router of this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifies a backend server VM by the hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The id of the backend server of this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifies a workspace of one customer.
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
    /// The key of a chat by the id that its caller gave, or by the chat's opening text.
    pub fn new(workspace: WorkspaceKey, chat: &str) -> Self {
        Self(hash_parts(&[&workspace.0.to_le_bytes(), chat.as_bytes()]))
    }
}

/// Identifies one slot reservation; unique for an incarnation of the router that asked.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReservationId(pub u32);

impl ReservationId {
    /// Whether this id was drawn at or after `next`; ids wrap around, so that one half of them
    /// counts as later and the other as earlier.
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

/// Hashes parts so that no two different splits collide by concatenation.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
