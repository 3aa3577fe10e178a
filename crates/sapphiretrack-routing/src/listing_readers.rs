//! Tracks which routers read a listing from this one, so that others can be sent to them.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// A router that reads a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct ListingReader {
    /// Its availability zone.
    pub zone: String,
    /// Address at which other routers can read the listing from it.
    pub address: SocketAddr,
}

/// The routers that were served last. A router that finds this one busy is sent to them, so that a
/// large listing spreads exponentially and mostly within availability zones.
#[derive(Clone, Debug, Default)]
pub struct ListingReaders {
    readers: VecDeque<ListingReader>,
}

impl ListingReaders {
    /// Maximum number of readers kept.
    pub const MAX_KEPT: usize = 128;
    /// Maximum number of readers suggested to another one.
    pub const MAX_SUGGESTED: usize = 16;

    /// Records that a router is being served.
    pub fn record(&mut self, reader: ListingReader) {
        self.readers.retain(|one| one.address != reader.address);
        self.readers.push_front(reader);
        self.readers.truncate(Self::MAX_KEPT);
    }

    /// Returns the latest other readers: those in the reader's availability zone, or all if there
    /// are none.
    pub fn suggest_to(&self, reader: &ListingReader) -> Vec<SocketAddr> {
        let others = self.readers.iter();
        let others = others.filter(|one| one.address != reader.address);
        let near = others.clone().filter(|one| one.zone == reader.zone);
        let mut suggested: Vec<SocketAddr> = near.map(|one| one.address).collect();
        if suggested.is_empty() {
            suggested = others.map(|one| one.address).collect();
        }
        suggested.truncate(Self::MAX_SUGGESTED);
        suggested
    }
}
