//! Decides, by the evidence of crashes, what a request is suspected of.

use std::collections::HashSet;

use crate::{CrashEvidence, CrashLimits, Fingerprint};

/// The servers that a request, or others with one of its prefixes, are known to have crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// The request or the prefix.
    pub fingerprint: Fingerprint,
    /// Number of servers.
    pub crashes: usize,
    /// Number of servers at which requests are blocked.
    pub limit: usize,
}

impl Suspicion {
    /// Number of servers that may crash beyond the limit while requests show which one of several prefixes
    /// is the cause.
    pub const MAX_TESTS: usize = 2;

    /// Returns the number of servers that may still crash before the request is blocked.
    pub fn crashes_left(&self) -> usize {
        self.limit.saturating_sub(self.crashes)
    }

    /// Returns whether another prefix may be the cause instead. Copies of one request are few, so that it
    /// stays blocked.
    fn may_be_explained(&self) -> bool {
        // With more crashes left, nothing is decided by them.
        let is_decisive = self.crashes_left() <= 1;
        let may_test = self.crashes < self.limit + Self::MAX_TESTS;
        self.fingerprint.is_prefix() && is_decisive && may_test
    }
}

impl CrashEvidence {
    /// Returns what a request is suspected of: of itself, if `request` is given, and the prefixes that it
    /// holds, the one that is closest to being blocked. `None` if nothing is suspected.
    pub fn suspicion(
        &self,
        request: Option<Fingerprint>,
        held: &[Fingerprint],
        limits: CrashLimits,
    ) -> Option<Suspicion> {
        let suspicions = request.iter().chain(held).map(|one| Suspicion {
            fingerprint: *one,
            crashes: self.crashes(*one),
            limit: limits.of(*one),
        });
        let suspicions = suspicions.filter(|one| {
            let is_explained =
                || one.may_be_explained() && self.is_explained(one.fingerprint, held);
            one.crashes > 0 && !is_explained()
        });
        suspicions.min_by_key(Suspicion::crashes_left)
    }

    /// Whether a prefix that the request does not hold explains all crashes of one that it holds: it was in
    /// a request on each of these servers. Only requests that hold one of the two show which one crashes
    /// servers.
    fn is_explained(&self, fingerprint: Fingerprint, held: &[Fingerprint]) -> bool {
        let crashed: HashSet<u64> = self.crashed_servers(fingerprint).collect();
        let mut others = self.prefixes().filter(|other| !held.contains(other));
        others.any(|other| {
            let of_other = self.crashed_servers(other);
            of_other.filter(|server| crashed.contains(server)).count() == crashed.len()
        })
    }
}
