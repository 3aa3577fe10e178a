//! One budget of memory for all that clients make a process hold: connections, uploads, requests and answers.

use std::collections::HashMap;

/// The time over which the pace of an upload is measured, and before which it is never reclaimed.
const PACE_WINDOW_MS: u64 = 1_000;
/// An upload is stalled if it would take longer than this number of windows to receive what it holds once more. No
/// route waits that long for a body.
const STALLED_WINDOWS: usize = 32;

/// The memory and the descriptors of a process, as its machine states them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// The memory, in megabytes.
    pub memory_mb: usize,
    /// The open descriptors.
    pub max_descriptors: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_descriptors: 4_100,
        }
    }
}

impl MachineLimits {
    /// The most descriptors that are set aside for files.
    const MAX_FILE_DESCRIPTORS: usize = 200;

    /// The memory that clients may make the process hold. The other half is for what it holds by itself, and for
    /// what the allocator wastes.
    pub fn client_bytes(&self) -> usize {
        self.memory_mb * 1_000_000 / 2
    }

    /// The descriptors that are left for sockets.
    pub fn sockets(&self) -> usize {
        let files = (self.max_descriptors / 2).min(Self::MAX_FILE_DESCRIPTORS);
        self.max_descriptors - files
    }

    /// The connections of callers that may be open at a time if each may take `connection_bytes`: at most half of
    /// the clients' memory, and half of the sockets, since each may need a connection to a server.
    pub fn max_connections(&self, connection_bytes: usize) -> usize {
        let by_descriptors = self.sockets() / 2;
        let by_memory = self.client_bytes() / 2 / connection_bytes.max(1);
        by_descriptors.min(by_memory).max(1)
    }
}

/// The answer to an upload or a request that asks for memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UploadGrant {
    /// The memory is reserved.
    Granted,
    /// Other uploads have to give way first: these from now on, or those of an earlier answer. The client's request
    /// asks again when memory was released.
    Awaited(Vec<u64>),
    /// There is no memory for it.
    Refused,
}

/// The bytes of a body that is being read.
#[derive(Clone, Debug)]
struct Upload {
    reserved_bytes: usize,
    window_since_ms: u64,
    window_bytes: usize,
    last_window_bytes: usize,
    is_reclaimed: bool,
}

impl Upload {
    fn record_bytes(&mut self, bytes: usize, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_since_ms) / PACE_WINDOW_MS;
        if windows > 0 {
            self.last_window_bytes = if windows == 1 { self.window_bytes } else { 0 };
            self.window_bytes = 0;
            self.window_since_ms += windows * PACE_WINDOW_MS;
        }
        self.window_bytes += bytes;
    }

    /// The bytes that it received in the last one to two windows; none before its first window has passed.
    fn recent_bytes(&self, now_ms: u64) -> Option<usize> {
        match now_ms.saturating_sub(self.window_since_ms) / PACE_WINDOW_MS {
            0 if self.last_window_bytes == usize::MAX => None,
            0 => Some(self.window_bytes + self.last_window_bytes),
            1 => Some(self.window_bytes),
            _ => Some(0),
        }
    }

    /// How much it holds for each byte that it moves; none if it is not stalled.
    fn stall(&self, now_ms: u64) -> Option<usize> {
        let recent_bytes = self.recent_bytes(now_ms)?;
        let is_stalled = recent_bytes.saturating_mul(STALLED_WINDOWS) < self.reserved_bytes;
        (is_stalled && !self.is_reclaimed).then(|| self.reserved_bytes / (recent_bytes + 1))
    }
}

/// Accounts for the memory that clients make a process hold.
///
/// An upload may hold at most as much as it leaves free. Large uploads therefore cannot take the room of small ones,
/// and a single one gets up to half of the budget. Only when there is no room do others give way: those that hold
/// much and move little.
#[derive(Clone, Debug, Default)]
pub struct ClientBudget {
    limit_bytes: usize,
    /// What connections and requests hold, whole bodies included.
    fixed_bytes: usize,
    upload_bytes: usize,
    uploads: HashMap<u64, Upload>,
    last_id: u64,
}

impl ClientBudget {
    /// A budget of this many bytes.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            ..Self::default()
        }
    }

    /// Sets the limit. What is held stays held.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// All bytes that are accounted for.
    pub fn used_bytes(&self) -> usize {
        self.fixed_bytes + self.upload_bytes
    }

    /// The largest upload that a process without other clients takes.
    pub fn max_upload_bytes(&self) -> usize {
        self.limit_bytes / 2
    }

    /// Reserves memory that its holder never gives back early. Returns false if there is no room.
    pub fn try_hold(&mut self, bytes: usize, other_bytes: usize) -> bool {
        let fits = self.used_bytes() + other_bytes + bytes <= self.limit_bytes;
        if fits {
            self.fixed_bytes += bytes;
        }
        fits
    }

    /// Reserves memory for a request whose body was read. Others give way to it as to an upload.
    pub fn hold_request(&mut self, bytes: usize, other_bytes: usize, now_ms: u64) -> UploadGrant {
        if self.try_hold(bytes, other_bytes) {
            return UploadGrant::Granted;
        }
        let missing = (self.used_bytes() + other_bytes + bytes).saturating_sub(self.limit_bytes);
        self.reclaim(missing, None, now_ms)
    }

    /// Accounts for memory whose amount is limited by other means.
    pub fn hold(&mut self, bytes: usize) {
        self.fixed_bytes += bytes;
    }

    /// Ends what `try_hold`, `hold_request`, `hold` or `finish_upload` accounted for.
    pub fn release(&mut self, bytes: usize) {
        self.fixed_bytes = self.fixed_bytes.saturating_sub(bytes);
    }

    /// Begins an upload, which holds nothing yet.
    pub fn begin_upload(&mut self, now_ms: u64) -> u64 {
        self.last_id += 1;
        let upload = Upload {
            reserved_bytes: 0,
            window_since_ms: now_ms,
            window_bytes: 0,
            last_window_bytes: usize::MAX,
            is_reclaimed: false,
        };
        self.uploads.insert(self.last_id, upload);
        self.last_id
    }

    /// Records bytes of an upload that arrived.
    pub fn record_upload(&mut self, id: u64, bytes: usize, now_ms: u64) {
        if let Some(upload) = self.uploads.get_mut(&id) {
            upload.record_bytes(bytes, now_ms);
        }
    }

    /// Whether an upload has to give way.
    pub fn is_reclaimed(&self, id: u64) -> bool {
        self.uploads.get(&id).is_some_and(|one| one.is_reclaimed)
    }

    /// Reserves more memory for an upload. `other_bytes` are held by clients and accounted for elsewhere.
    pub fn grow_upload(
        &mut self,
        id: u64,
        bytes: usize,
        other_bytes: usize,
        now_ms: u64,
    ) -> UploadGrant {
        let Some(upload) = self.uploads.get(&id).filter(|one| !one.is_reclaimed) else {
            return UploadGrant::Refused;
        };
        let missing = self.missing_bytes(upload.reserved_bytes, bytes, other_bytes);
        if missing == 0 {
            self.upload_bytes += bytes;
            if let Some(upload) = self.uploads.get_mut(&id) {
                upload.reserved_bytes += bytes;
            }
            return UploadGrant::Granted;
        }
        self.reclaim(missing, Some(id), now_ms)
    }

    /// Whether an upload of `bytes` bytes that has not begun would get room, perhaps after others gave way.
    pub fn may_fit(&self, bytes: usize, other_bytes: usize, now_ms: u64) -> bool {
        let missing = self.missing_bytes(0, bytes, other_bytes);
        let reclaimable = self
            .uploads
            .values()
            .filter(|one| one.is_reclaimed || one.stall(now_ms).is_some());
        let reclaimable: usize = reclaimable.map(|one| one.reserved_bytes).sum();
        missing <= reclaimable
    }

    /// Turns an upload into the body of a request that runs, which is ended by `release` of the returned bytes.
    pub fn finish_upload(&mut self, id: u64) -> usize {
        let bytes = self.drop_upload(id);
        self.fixed_bytes += bytes;
        bytes
    }

    /// Ends an upload that is not read further. Returns the bytes that this frees.
    pub fn drop_upload(&mut self, id: u64) -> usize {
        let upload = self.uploads.remove(&id);
        let bytes = upload.map_or(0, |upload| upload.reserved_bytes);
        self.upload_bytes -= bytes;
        bytes
    }

    /// The bytes that have to be freed before an upload may grow.
    fn missing_bytes(&self, reserved_bytes: usize, bytes: usize, other_bytes: usize) -> usize {
        let after = self.used_bytes() + other_bytes + bytes;
        (after + reserved_bytes + bytes).saturating_sub(self.limit_bytes)
    }

    fn reclaim(&mut self, missing: usize, except: Option<u64>, now_ms: u64) -> UploadGrant {
        let reclaimed = self.uploads.values().filter(|one| one.is_reclaimed);
        let mut awaited: usize = reclaimed.map(|one| one.reserved_bytes).sum();
        let stalled = self.uploads.iter().filter(|(id, _)| Some(**id) != except);
        let stalled = stalled.filter_map(|(id, one)| Some((one.stall(now_ms)?, *id)));
        let mut stalled: Vec<(usize, u64)> = stalled.collect();
        stalled.sort_unstable_by(|one, other| other.cmp(one));
        let mut chosen = Vec::new();
        for (_, id) in stalled {
            if awaited >= missing {
                break;
            }
            awaited += self.uploads.get(&id).map_or(0, |one| one.reserved_bytes);
            chosen.push(id);
        }
        if awaited < missing {
            return UploadGrant::Refused;
        }
        for id in &chosen {
            if let Some(upload) = self.uploads.get_mut(id) {
                upload.is_reclaimed = true;
            }
        }
        UploadGrant::Awaited(chosen)
    }
}
