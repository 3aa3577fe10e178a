//! Snapshots of the routers' placement memories: two small objects for each router.

use bincode::Options;
use bytes::Bytes;
use sapphiretrack_core::{RouterId, WarmList, hash_parts};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};

use crate::PlatformClient;
use crate::error::{BadWarmSnapshotSnafu, NoWarmSnapshotSnafu, PlatformError, UnreadableSnafu};

/// Format version of the objects. Other versions are not read.
const FORMAT: u32 = 1;
/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// One of a router's two objects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmPart {
    /// All entries worth keeping, written occasionally.
    Base,
    /// The entries recorded since the base was written.
    Recent,
}

/// The placement memory of a router when it wrote the snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmSnapshot {
    /// Time of the snapshot by the writer's wall clock, in milliseconds. The ages in the list are
    /// relative to it.
    pub written_at_ms: u64,
    /// The servers on which chats are warm.
    pub list: WarmList,
}

/// The first line of an object.
#[derive(Debug, Deserialize, Serialize)]
struct Header {
    format: u32,
    router: u64,
    written_at_ms: u64,
    checksum: u64,
}

/// Store of snapshots in the platform's object store.
#[derive(Clone, Debug)]
pub struct WarmStore {
    platform: PlatformClient,
}

impl WarmStore {
    /// Creates a store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Writes one of a router's objects.
    pub async fn write(
        &self,
        router: RouterId,
        part: WarmPart,
        snapshot: &WarmSnapshot,
    ) -> Result<(), PlatformError> {
        let object = encode(router, snapshot)?;
        let name = object_name(router, part);
        self.platform.put_object(&name, object).await
    }

    /// Reads one of a router's objects. Returns an error that states the problem if it is missing
    /// or corrupted, belongs to another router or has another format.
    pub async fn read(
        &self,
        router: RouterId,
        part: WarmPart,
    ) -> Result<WarmSnapshot, PlatformError> {
        let name = object_name(router, part);
        let object = self.platform.get_object(&name).await?;
        decode(router, &object.context(NoWarmSnapshotSnafu)?)
    }
}

fn object_name(router: RouterId, part: WarmPart) -> String {
    let part = match part {
        WarmPart::Base => "base",
        WarmPart::Recent => "recent",
    };
    format!("placement-memory-{:016x}-{part}", router.0)
}

fn encode(router: RouterId, snapshot: &WarmSnapshot) -> Result<Bytes, PlatformError> {
    let problem = "it cannot be encoded";
    let body = codec().serialize(&snapshot.list).ok();
    let body = body.context(BadWarmSnapshotSnafu { problem })?;
    let mut header = Header {
        format: FORMAT,
        router: router.0,
        written_at_ms: snapshot.written_at_ms,
        checksum: 0,
    };
    header.checksum = checksum(&header, &body);
    let what = "a snapshot's header";
    let mut object = serde_json::to_vec(&header).context(UnreadableSnafu { what })?;
    object.push(b'\n');
    object.extend(body);
    Ok(Bytes::from(object))
}

fn decode(router: RouterId, object: &[u8]) -> Result<WarmSnapshot, PlatformError> {
    let bad = |problem| BadWarmSnapshotSnafu { problem };
    ensure!(object.len() <= MAX_OBJECT_BYTES, bad("it is too large"));
    let end = object.iter().position(|byte| *byte == b'\n');
    let (header, body) = object.split_at(end.context(bad("it has no header"))?);
    let header: Header = serde_json::from_slice(header)
        .ok()
        .context(bad("its header is no header"))?;
    ensure!(header.format == FORMAT, bad("it is of another format"));
    ensure!(header.router == router.0, bad("it is another router's"));
    let body = &body[1..];
    ensure!(
        header.checksum == checksum(&header, body),
        bad("its checksum does not fit")
    );
    let list = codec().deserialize(body).ok();
    Ok(WarmSnapshot {
        written_at_ms: header.written_at_ms,
        list: list.context(bad("its list cannot be read"))?,
    })
}

fn checksum(header: &Header, body: &[u8]) -> u64 {
    hash_parts(&[
        &header.format.to_le_bytes(),
        &header.router.to_le_bytes(),
        &header.written_at_ms.to_le_bytes(),
        body,
    ])
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_OBJECT_BYTES as u64)
}
