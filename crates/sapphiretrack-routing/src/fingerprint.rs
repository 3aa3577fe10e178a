//! Identifies requests that are sent again under another id, and prompt prefixes that requests share.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The parts of a request that its copies under other ids have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The caller.
    pub caller: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// A hash of a request's caller, method, host, path and body length. It is cheap to compute but not
/// collision-resistant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Outline(pub u64);

/// Identifies a whole request, or a prompt prefix that requests to a service share.
///
/// For a request it holds a cryptographic hash: nobody can construct a request with the fingerprint
/// of another caller's request. A prefix is identified by the id that its callers state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// Outline of the same request, or [`Outline::PREFIX`].
    pub outline: Outline,
    /// For a request, the first half of the SHA-256 of all parts; for a prefix, a hash of the service
    /// in the upper half and the id of the prefix in the lower one.
    pub hash: u128,
}

impl Outline {
    /// The outline of all prompt prefixes; no request has it.
    pub const PREFIX: Self = Self(0);

    /// Computes the outline of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let head = request.head();
        let length = request.body.len().to_le_bytes();
        let bytes = head.iter().flat_map(|part| part.iter().chain(&[0xff]));
        Self(fnv1a(bytes.chain(&length)).max(1))
    }
}

/// Computes a hash that is the same on all routers.
fn fnv1a<'a, Bytes>(bytes: Bytes) -> u64
where
    Bytes: Iterator<Item = &'a u8>,
{
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let mut hash = Sha256::new();
        for part in request.head().into_iter().chain([request.body]) {
            // The length prefix keeps the boundaries between parts unambiguous.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self {
            outline: Outline::of(request),
            hash: u128::from_le_bytes(first),
        }
    }

    /// Returns the fingerprint of a prompt prefix of requests to a service.
    pub fn of_prefix(service: &str, id: u64) -> Self {
        let service = fnv1a(service.as_bytes().iter());
        Self {
            outline: Outline::PREFIX,
            hash: u128::from(service) << 64 | u128::from(id),
        }
    }

    /// Returns whether this identifies a prompt prefix, not a request.
    pub fn is_prefix(&self) -> bool {
        self.outline == Outline::PREFIX
    }
}

impl RequestIdentity<'_> {
    fn head(&self) -> [&[u8]; 4] {
        [self.caller, self.method, self.host, self.path].map(str::as_bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.hash)
    }
}
