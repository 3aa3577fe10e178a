//! Leases for tasks that only one router may do, with a fencing number that only increases.
//!
//! Clocks of different routers are never compared. The holder counts its lease by its own monotonic
//! clock from *before* it sent the write. A contender counts by its own clock from when it first
//! *read* the row in its current state.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RouterId};

/// A number that increases each time a lease is acquired.
pub type Fencing = u64;

/// Timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long the lease lasts after a write of its row.
    pub duration_ms: u64,
    /// Allowance for clock drift: the holder stops this much earlier, a contender starts this much
    /// later.
    pub margin_ms: u64,
    /// How often the holder renews.
    pub renew_every_ms: u64,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            duration_ms: 10_000,
            margin_ms: 1_000,
            renew_every_ms: 3_000,
        }
    }
}

/// The row of a lease in the platform's table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The current or last holder.
    pub holder: RouterId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Increases by one each time the lease is acquired, also by the same holder.
    pub fencing: Fencing,
    /// Increases with each renewal, which shows contenders that the holder is alive.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub released: bool,
    /// Identifies one write, to find out after a lost reply whether it was applied.
    pub write_id: u64,
}

/// A lease that this router holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number to send with orders.
    pub fencing: Fencing,
    /// When the lease ends, minus the margin, by the holder's clock.
    pub valid_until_ms: u64,
    /// The row as this router last wrote it.
    pub row: LeaseRow,
}

/// A router's next step for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseStep {
    /// Write this row, on condition that the table's row is still the one that was read.
    Write(LeaseRow),
    /// Do nothing: another router holds the lease, or it is too early to renew it.
    Wait,
}

/// The row as a router last read it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Seen {
    row: Option<LeaseRow>,
    since_ms: u64,
}

/// State of one lease on one router.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    me: RouterId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    seen: Option<Seen>,
    held: Option<HeldLease>,
    renewed_ms: u64,
}

impl LeaseKeeper {
    /// Creates a keeper that has not read the row yet.
    pub fn new(me: RouterId, incarnation: Incarnation, terms: LeaseTerms) -> Self {
        Self {
            me,
            incarnation,
            terms,
            seen: None,
            held: None,
            renewed_ms: 0,
        }
    }

    /// The fencing number if this router holds the lease now. Call this right before each order.
    pub fn fencing(&self, now_ms: u64) -> Option<Fencing> {
        self.held
            .filter(|held| now_ms < held.valid_until_ms)
            .map(|held| held.fencing)
    }

    /// The timing of this lease.
    pub fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// Whether the row has to be read: the lease is not held, or its renewal is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let renewed_for_ms = now_ms.saturating_sub(self.renewed_ms);
        self.fencing(now_ms).is_none() || renewed_for_ms >= self.terms.renew_every_ms
    }

    /// Processes the row read at `now_ms` and decides the next step.
    ///
    /// `write_id` has to be a new random number for each call.
    pub fn decide(&mut self, row: Option<&LeaseRow>, write_id: u64, now_ms: u64) -> LeaseStep {
        let row = row.copied();
        if self.seen.is_none_or(|seen| seen.row != row) {
            self.seen = Some(Seen {
                row,
                since_ms: now_ms,
            });
        }
        self.drop_if_lost(row, now_ms);
        if let Some(held) = self.held {
            let due = now_ms.saturating_sub(self.renewed_ms) >= self.terms.renew_every_ms;
            if !due {
                return LeaseStep::Wait;
            }
            return LeaseStep::Write(LeaseRow {
                renewal: held.row.renewal + 1,
                write_id,
                ..held.row
            });
        }
        if !self.is_free(row, now_ms) {
            return LeaseStep::Wait;
        }
        LeaseStep::Write(LeaseRow {
            holder: self.me,
            incarnation: self.incarnation,
            fencing: row.map_or(0, |row| row.fencing) + 1,
            renewal: 0,
            released: false,
            write_id,
        })
    }

    /// Records that a row was written; `requested_ms` is a time before the write was sent.
    pub fn note_written(&mut self, row: &LeaseRow, requested_ms: u64) {
        let usable_ms = self.terms.duration_ms.saturating_sub(self.terms.margin_ms);
        self.renewed_ms = requested_ms;
        self.seen = Some(Seen {
            row: Some(*row),
            since_ms: requested_ms,
        });
        self.held = (!row.released).then_some(HeldLease {
            fencing: row.fencing,
            valid_until_ms: requested_ms + usable_ms,
            row: *row,
        });
    }

    /// Ends the lease for a planned stop and returns the row to write, if the lease was held.
    /// Afterwards no order may be sent.
    pub fn release(&mut self, write_id: u64) -> Option<LeaseRow> {
        let held = self.held.take()?;
        Some(LeaseRow {
            released: true,
            write_id,
            ..held.row
        })
    }

    /// Drops a lease that has expired or whose row was overwritten by another holder. An expired
    /// lease is never renewed, only acquired again with a new fencing number.
    fn drop_if_lost(&mut self, row: Option<LeaseRow>, now_ms: u64) {
        let Some(held) = self.held else { return };
        let same = row.is_some_and(|row| {
            (row.holder, row.incarnation, row.fencing)
                == (held.row.holder, held.row.incarnation, held.row.fencing)
        });
        if !same || now_ms >= held.valid_until_ms {
            self.held = None;
        }
    }

    /// Whether no router can hold the lease any more.
    fn is_free(&self, row: Option<LeaseRow>, now_ms: u64) -> bool {
        let Some(row) = row else { return true };
        let waited_ms = self
            .seen
            .map_or(0, |seen| now_ms.saturating_sub(seen.since_ms));
        let has_expired = waited_ms >= self.terms.duration_ms + self.terms.margin_ms;
        let is_own = row.holder == self.me && row.incarnation == self.incarnation;
        // This incarnation's own lease has expired by its own clock, so there is no need to wait.
        row.released || is_own || has_expired
    }
}
