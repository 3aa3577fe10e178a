//! Snapshots of routers' placement memories as objects: two small ones a router.

use bincode::Options;
use bytes::Bytes;
use sapphiretrack_core::{RouterId, WarmList, hash_parts};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};

use crate::PlatformClient;
use crate::error::{BadWarmSnapshotSnafu, NoWarmSnapshotSnafu, PlatformError, UnreadableSnafu};

/// The form of the objects; another one is not read.
const FORMAT: u32 = 1;
/// The largest object that is read.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Which of a router's two objects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmPart {
    /// All that is worth keeping, written now and then.
    Base,
    /// What was noted since the base.
    Recent,
}

/// What a router knew when it wrote a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmSnapshot {
    /// By the writer's wall clock; ages in the list are of this time.
    pub written_at_ms: u64,
    /// Where chats are warm.
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

/// Writes and reads snapshots.
#[derive(Clone, Debug)]
pub struct WarmStore {
    platform: PlatformClient,
}

impl WarmStore {
    /// A store on this platform.
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

    /// Reads one of a router's objects; one that is missing, damaged, another router's or of
    /// another form is an error that says so.
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
