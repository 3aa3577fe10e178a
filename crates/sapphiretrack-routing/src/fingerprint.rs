//! Identifies requests that are sent again under another id.

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

/// A cryptographic hash of a whole request: nobody can construct a request with the fingerprint of
/// another caller's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// Outline of the same request.
    pub outline: Outline,
    /// First half of the SHA-256 of all parts.
    pub hash: u128,
}

impl Outline {
    /// Computes the outline of a request with FNV-1a, so that all routers get the same value.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let head = request.head();
        let length = request.body.len().to_le_bytes();
        let bytes = head.iter().flat_map(|part| part.iter().chain(&[0xff]));
        let bytes = bytes.chain(&length);
        let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Self(hash)
    }
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
