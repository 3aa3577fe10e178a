//! The text in which a router states the row of sole versions that it knows to another one, which cannot read it from the
//! store.

use std::collections::BTreeMap;
use std::fmt;

use sapphiretrack_routing::{
    KnownRow, SoftwareVersion, SoleVersion, SoleVersions, StoredRoutes, StoredVersions,
};

/// The path of the question for the row. The number increases with each change of the text.
pub(crate) const SOLE_VERSIONS_PATH: &str = "/sole-versions/1";

/// Formats a row: a line with its version at the store and the one at which it was read, one with the routes if there are any, and one for each service.
pub(crate) struct RowText<'a>(pub(crate) &'a KnownRow);

impl fmt::Display for RowText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let KnownRow {
            stored: row,
            read_version,
        } = self.0;
        writeln!(formatter, "row {} {read_version}", row.row_version)?;
        if let Some(routes) = row.versions.routes {
            writeln!(
                formatter,
                "routes {} {}",
                routes.digest, routes.since_store_ms
            )?;
        }
        for (service, sole) in &row.versions.services {
            let (software, since_ms) = (sole.software.0, sole.since_store_ms);
            writeln!(formatter, "service {software} {since_ms} {service}")?;
        }
        Ok(())
    }
}

/// Parses the text of a row; `None` if any line of it cannot be read.
pub(crate) fn parse_row(text: &str) -> Option<KnownRow> {
    let mut lines = text.lines();
    let (row_version, read_version) = lines.next()?.strip_prefix("row ")?.split_once(' ')?;
    let (mut routes, mut services) = (None, BTreeMap::new());
    for line in lines {
        let (kind, rest) = line.split_once(' ')?;
        let (number, rest) = rest.split_once(' ')?;
        let number = number.parse().ok()?;
        match kind {
            "routes" => {
                routes = Some(StoredRoutes {
                    digest: number,
                    since_store_ms: rest.parse().ok()?,
                });
            }
            "service" => {
                let (since_ms, service) = rest.split_once(' ')?;
                let sole = SoleVersion {
                    software: SoftwareVersion(number),
                    since_store_ms: since_ms.parse().ok()?,
                };
                services.insert(service.to_owned(), sole);
            }
            _ => return None,
        }
    }
    let stored = StoredVersions {
        versions: SoleVersions { routes, services },
        row_version: row_version.parse().ok()?,
        is_unreadable: false,
    };
    Some(KnownRow {
        stored,
        read_version: read_version.parse().ok()?,
    })
}
