//! Decides whether a request may be sent to a backend server at all. Placement asks before it compares
//! servers, and each attempt asks again right before it writes.

use std::collections::HashSet;

use crate::{EvacuatedZones, ServerEntry, SoftwareVersion};

/// Why nothing, or only little, may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// Its software has another version than the one that began the stream.
    OtherVersion,
    /// No stream may begin at its version before the store has confirmed that.
    UnclearedVersion,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is in a region that the request must not leave its own for.
    OtherRegion,
    /// It has ended, although it is still listed.
    Ended,
    /// It stated that it leaves.
    Leaving,
    /// It asked this router for a pause.
    Paused,
    /// It is cold: only its owners may send requests, at a limited rate.
    Cold,
}

/// What decides whether a server may get a request.
#[derive(Clone, Copy)]
pub struct EligibilityView<'a> {
    /// The version of the software that began the stream; `None` if no event of it was passed on yet.
    pub required_software: Option<SoftwareVersion>,
    /// The versions at which the request may not begin a stream.
    pub uncleared: &'a HashSet<SoftwareVersion>,
    /// The evacuated availability zones.
    pub evacuated: &'a EvacuatedZones,
    /// Lists of regions, each of which must contain the server's region; an empty list allows all.
    pub allowed_regions: [&'a [String]; 2],
    /// The region of the server's availability zone, if it is known.
    pub region: Option<&'a str>,
    /// Whether another server is known to have its address.
    pub has_ended: bool,
    /// Whether the server stated that it leaves.
    pub is_leaving: bool,
    /// Whether the server asked for a pause that lasts.
    pub is_paused: bool,
    /// Whether the server counts as cold.
    pub is_cold: bool,
}

impl EligibilityView<'_> {
    /// Returns why a server may not get a request like any other server; `None` if it may.
    pub fn exclusion(&self, server: &ServerEntry) -> Option<Exclusion> {
        let is_allowed = |software: SoftwareVersion| software == server.software();
        if !self.required_software.is_none_or(is_allowed) {
            return Some(Exclusion::OtherVersion);
        }
        if self.uncleared.contains(&server.software()) {
            return Some(Exclusion::UnclearedVersion);
        }
        if self.evacuated.contains(&server.zone) {
            return Some(Exclusion::Evacuated);
        }
        let is_allowed = |regions: &&[String]| {
            let mut regions_iter = regions.iter();
            regions.is_empty() || regions_iter.any(|region| Some(region.as_str()) == self.region)
        };
        if !self.allowed_regions.iter().all(is_allowed) {
            return Some(Exclusion::OtherRegion);
        }
        if self.has_ended {
            return Some(Exclusion::Ended);
        }
        if self.is_leaving {
            return Some(Exclusion::Leaving);
        }
        if self.is_paused {
            return Some(Exclusion::Paused);
        }
        self.is_cold.then_some(Exclusion::Cold)
    }
}

impl Exclusion {
    /// Returns the reason for logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherVersion => "other-version",
            Self::UnclearedVersion => "version-uncleared",
            Self::Evacuated => "zone-evacuated",
            Self::OtherRegion => "region-not-allowed",
            Self::Ended => "server-ended",
            Self::Leaving => "server-leaving",
            Self::Paused => "server-paused",
            Self::Cold => "server-cold",
        }
    }
}
