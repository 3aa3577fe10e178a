//! What identifies a request that comes again under another id.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a request has in common with copies of it that come under other ids.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Who sends it.
    pub caller: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its host.
    pub host: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// A hash of all of a request but the bytes of its body: cheap, and no proof of anything.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Outline(pub u64);

/// A hash of a whole request. Nobody can find a request with the fingerprint of another caller's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// The outline of the same request.
    pub outline: Outline,
    /// Half of the SHA-256 of all parts.
    pub hash: u128,
}

impl Outline {
    /// The outline of a request. All routers make the same (FNV-1a).
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
    /// The fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let mut hash = Sha256::new();
        for part in request.head().into_iter().chain([request.body]) {
            // With its length no part can be taken for the end of the one before.
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
