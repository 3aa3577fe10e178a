//! Snapshots: the whole configuration as one object, with its version and a checksum.

use bytes::Bytes;
use sapphiretrack_core::{FleetConfig, sha256_hex};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::error::{BadSnapshotSnafu, PlatformError, UnreadableSnafu};

/// The first line of a snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct SnapshotHeader {
    version: u64,
    sha256: String,
}

/// Encodes a configuration: a header line with version and checksum, then the configuration as
/// JSON.
pub(crate) fn encode_snapshot(config: &FleetConfig) -> Result<Bytes, PlatformError> {
    let what = "the snapshot";
    let body = serde_json::to_string(config).context(UnreadableSnafu { what })?;
    let header = SnapshotHeader {
        version: config.version,
        sha256: sha256_hex(&body),
    };
    let header = serde_json::to_string(&header).context(UnreadableSnafu { what })?;
    Ok(Bytes::from(format!("{header}\n{body}")))
}

/// Decodes a snapshot. Returns an error if it is truncated or corrupted, or if it does not match
/// its header.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<FleetConfig, PlatformError> {
    let what = "the snapshot";
    let text = std::str::from_utf8(bytes).ok();
    let Some((header, body)) = text.and_then(|text| text.split_once('\n')) else {
        return BadSnapshotSnafu {
            problem: "it has no header",
        }
        .fail();
    };
    let header: SnapshotHeader = serde_json::from_str(header).context(UnreadableSnafu { what })?;
    ensure!(
        sha256_hex(body) == header.sha256,
        BadSnapshotSnafu {
            problem: "its checksum does not fit",
        }
    );
    let config: FleetConfig = serde_json::from_str(body).context(UnreadableSnafu { what })?;
    ensure!(
        config.version == header.version,
        BadSnapshotSnafu {
            problem: "its version does not fit",
        }
    );
    Ok(config)
}
