//! Leases: what one router must do alone, under a fencing number that only rises.
//!
//! Nobody compares clocks. The holder counts its lease by its own monotonic clock from *before*
//! it asked; a contender counts by its own from when it first *saw* the row as it stands.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RouterId};

/// A number that rises with each holder of a lease.
pub type Fencing = u64;

/// Times that rule a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long a write to the row holds.
    pub duration_ms: u64,
    /// How much earlier the holder stops, and later a contender starts: clocks drift.
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
    /// Who holds it, or held it last.
    pub holder: RouterId,
    /// Which run of the holder.
    pub incarnation: Incarnation,
    /// Rises by one whenever the holder changes, and when it takes the lease anew.
    pub fencing: Fencing,
    /// Rises with each renewal, so that a contender sees that the holder lives.
    pub renewal: u64,
    /// Whether the holder gave it back.
    pub released: bool,
    /// Names one write, so that a lost reply can be settled.
    pub write_id: u64,
}

/// A lease that this router holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number for orders.
    pub fencing: Fencing,
    /// Until when it holds, margin taken off, by the holder's clock.
    pub valid_until_ms: u64,
    /// The row as this router wrote it last.
    pub row: LeaseRow,
}

/// What a router does next about a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseStep {
    /// Write this row, if the table's row is still the one that was seen.
    Write(LeaseRow),
    /// Nothing: another router holds the lease, or it is too early to renew.
    Wait,
}

/// The row as a router last saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Seen {
    row: Option<LeaseRow>,
    since_ms: u64,
}

/// One router's part in one lease.
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
    /// A keeper that has not seen the row yet.
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

    /// The fencing number, if the lease holds now. Ask right before each order.
    pub fn fencing(&self, now_ms: u64) -> Option<Fencing> {
        self.held
            .filter(|held| now_ms < held.valid_until_ms)
            .map(|held| held.fencing)
    }

    /// The times that rule this lease.
    pub fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// Whether the row has to be read: nothing is held, or the renewal is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let renewed_for_ms = now_ms.saturating_sub(self.renewed_ms);
        self.fencing(now_ms).is_none() || renewed_for_ms >= self.terms.renew_every_ms
    }

    /// Takes in the row as the table has it, read at `now_ms`, and decides.
    ///
    /// `write_id` is drawn anew for each call.
    pub fn decide(&mut self, row: Option<&LeaseRow>, write_id: u64, now_ms: u64) -> LeaseStep {
        let row = row.copied();
        if self.seen.is_none_or(|seen| seen.row != row) {
            self.seen = Some(Seen {
                row,
                since_ms: now_ms,
            });
        }
        self.forget_if_lost(row, now_ms);
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

    /// Notes that a row was written; `asked_ms` is from before the write was sent.
    pub fn note_written(&mut self, row: &LeaseRow, asked_ms: u64) {
        let lasts_ms = self.terms.duration_ms.saturating_sub(self.terms.margin_ms);
        self.renewed_ms = asked_ms;
        self.seen = Some(Seen {
            row: Some(*row),
            since_ms: asked_ms,
        });
        self.held = (!row.released).then_some(HeldLease {
            fencing: row.fencing,
            valid_until_ms: asked_ms + lasts_ms,
            row: *row,
        });
    }

    /// The row that gives the lease back, for a planned stop. After this nothing is ordered.
    pub fn release(&mut self, write_id: u64) -> Option<LeaseRow> {
        let held = self.held.take()?;
        Some(LeaseRow {
            released: true,
            write_id,
            ..held.row
        })
    }

    /// Drops a lease that lapsed, or whose row is another's. A lapsed lease is never renewed: it
    /// is taken anew, under a new number.
    fn forget_if_lost(&mut self, row: Option<LeaseRow>, now_ms: u64) {
        let Some(held) = self.held else { return };
        let same = row.is_some_and(|row| {
            (row.holder, row.incarnation, row.fencing)
                == (held.row.holder, held.row.incarnation, held.row.fencing)
        });
        if !same || now_ms >= held.valid_until_ms {
            self.held = None;
        }
    }

    /// Whether nobody can hold the lease any more.
    fn is_free(&self, row: Option<LeaseRow>, now_ms: u64) -> bool {
        let Some(row) = row else { return true };
        let waited_ms = self
            .seen
            .map_or(0, |seen| now_ms.saturating_sub(seen.since_ms));
        let lapsed = waited_ms >= self.terms.duration_ms + self.terms.margin_ms;
        let own_run = row.holder == self.me && row.incarnation == self.incarnation;
        // This router's own lapsed lease is over by its own clock.
        row.released || own_run || lapsed
    }
}
