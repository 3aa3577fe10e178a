//! Which services have had servers of one software version only, and since when, as the store keeps it for routers
//! that have all just started.
//!
//! A router begins no stream at another version than the one stored for a service before the store has confirmed
//! that this is no longer stored. So what is stored holds for all streams that began since then, whichever routers
//! began them and however they ended.

use std::collections::{BTreeMap, HashMap};

use crate::SoftwareVersion;

/// The only version of a service's servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoleVersion {
    /// The version.
    pub software: SoftwareVersion,
    /// Since when, by the store's clock, in milliseconds.
    pub since_store_ms: u64,
}

/// The routes of streams that may be taken up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredRoutes {
    /// Digest of the routes and their services.
    pub digest: u64,
    /// Since when, by the store's clock, in milliseconds.
    pub since_store_ms: u64,
}

/// What the store keeps. A service that is missing may have had servers of any versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SoleVersions {
    /// The routes; `None` if nothing is known of them.
    pub routes: Option<StoredRoutes>,
    /// The services by name.
    pub services: BTreeMap<String, SoleVersion>,
}

/// What the store kept when it was read or written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredVersions {
    /// The versions.
    pub versions: SoleVersions,
    /// The store's version at the last change of the row; 0 without one.
    pub row_version: u64,
    /// Whether the row holds something that cannot be read: it may keep any version.
    pub is_unreadable: bool,
}

/// What the store kept at a time of its clock.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadVersions {
    /// The row.
    pub stored: StoredVersions,
    /// The store's version when the row was read: until then it had not changed.
    pub read_version: u64,
    /// The time, in milliseconds.
    pub store_now_ms: u64,
}

impl SoleVersions {
    /// Returns whether another version than this one is stored for a service.
    pub fn contradicts(&self, service: &str, software: SoftwareVersion) -> bool {
        let stored = self.services.get(service);
        stored.is_some_and(|stored| stored.software != software)
    }
}

/// At which versions of listed servers streams may begin. The condition is asked whenever a stream is about to
/// begin; it rests on the newest row that this router knows, whoever brought it.
#[derive(Clone, Debug, Default)]
pub struct VersionClearance {
    /// The newest row that is known; `None` before one was read.
    row: Option<KnownRow>,
    listed: HashMap<SoftwareVersion, Listed>,
}

/// A row, and the newest version of the store at which it is known to have been the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownRow {
    /// The row.
    pub stored: StoredVersions,
    /// That version of the store.
    pub read_version: u64,
}

#[derive(Clone, Debug)]
struct Listed {
    service: String,
    /// The store's version of the first list with servers of the version.
    list_version: u64,
    /// The store's version from which on a row that keeps the version has to have been read.
    kept_from_version: u64,
}

impl VersionClearance {
    /// Returns the newest row that is known.
    pub fn row(&self) -> Option<&KnownRow> {
        self.row.as_ref()
    }

    /// Records the row as it was read or written at a version of the store, unless a newer one is known. Returns
    /// whether it differs from the one that was known.
    pub fn record_row(&mut self, stored: StoredVersions, read_version: u64) -> bool {
        let row = KnownRow {
            stored,
            read_version,
        };
        let Some(known) = &self.row else {
            self.row = Some(row);
            return true;
        };
        if known.read_version >= read_version {
            return false;
        }
        let has_changed = known.stored != row.stored;
        self.row = Some(row);
        has_changed
    }

    /// Adds a version of a service that a list of the store's version `list_version` has newly. Versions that a
    /// router's first list has may have been there for long.
    pub fn add_listed(
        &mut self,
        service: &str,
        software: SoftwareVersion,
        list_version: u64,
        is_first: bool,
    ) {
        let listed = Listed {
            service: service.to_owned(),
            list_version,
            kept_from_version: if is_first { 0 } else { list_version },
        };
        self.listed.insert(software, listed);
    }

    /// Takes all versions for newly listed by a list of the store's version `list_version`: the router does not know
    /// what was listed and stored before.
    pub fn renew(&mut self, list_version: u64) {
        for listed in self.listed.values_mut() {
            listed.list_version = list_version;
            listed.kept_from_version = list_version;
        }
    }

    /// Forgets versions that are not listed any more.
    pub fn retain_listed<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&str, SoftwareVersion) -> bool,
    {
        self.listed
            .retain(|software, listed| is_listed(&listed.service, *software));
    }

    /// Returns whether streams may begin at a version of a service: no other one is stored for the service, and the
    /// row was written after the version was listed, so that no router which does not know of it yet can store
    /// another one. A row that keeps this very version need only have been read after that: the version could not
    /// have been replaced in it while it was listed.
    pub fn is_cleared(&self, service: &str, software: SoftwareVersion) -> bool {
        let Some(row) = &self.row else {
            return false;
        };
        let Some(listed) = self.listed.get(&software) else {
            return false;
        };
        let stored = &row.stored;
        let kept = stored.versions.services.get(service);
        match kept {
            Some(kept) => kept.software == software && row.read_version >= listed.kept_from_version,
            None => !stored.is_unreadable && stored.row_version >= listed.list_version,
        }
    }

    /// Returns the listed versions of services that `has_streams` selects at which no stream may begin, with their
    /// services.
    pub fn uncleared<HasStreams>(&self, has_streams: HasStreams) -> Vec<(&str, SoftwareVersion)>
    where
        HasStreams: Fn(&str) -> bool,
    {
        let listed = self.listed.iter();
        let listed = listed.map(|(software, listed)| (listed.service.as_str(), *software));
        listed
            .filter(|(service, software)| {
                has_streams(service) && !self.is_cleared(service, *software)
            })
            .collect()
    }

    /// Returns what the store has to keep, and the version of the row that this replaces, so that all listed versions
    /// are cleared; `None` before a row was read.
    pub fn cleared_versions(&self) -> Option<(SoleVersions, u64)> {
        let row = &self.row.as_ref()?.stored;
        let mut versions = row.versions.clone();
        for (software, listed) in &self.listed {
            if versions.contradicts(&listed.service, *software) {
                versions.services.remove(&listed.service);
            }
        }
        Some((versions, row.row_version))
    }
}
