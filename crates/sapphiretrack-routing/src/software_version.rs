//! The versions of backend servers' software, which decide where a stream that began may go on.

use sapphiretrack_core::hash_parts;
use serde::{Deserialize, Serialize};

/// The version of the software that a service's servers run: a hash of the service and of what a server
/// states. Versions have no order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoftwareVersion(pub u64);

impl SoftwareVersion {
    /// Computes the version of a server from its service and its statement.
    pub fn new(service: &str, stated: &str) -> Self {
        Self(hash_parts(&[service.as_bytes(), stated.as_bytes()]))
    }
}
