//! Counts the encoded bytes of the control messages and load-report probes of all routers.

use sapphiretrack_core::{FullServer, Grant, LoadReport};
use sapphiretrack_peer::{HeartbeatReply, PeerReply, PeerRequest, SigningKey};

/// A typical HTTP request for a load report.
const PROBE_REQUEST: &str = "GET /load HTTP/1.1\r\nhost: 10.10.10.10:8000\r\n\r\n";
/// The head of the response to it.
const PROBE_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
    content-length: 85\r\ndate: Wed, 01 Jan 2025 00:00:00 GMT\r\n\r\n";

/// Sums the encoded bytes of signed peer requests, their replies and probes.
pub(crate) struct ControlTraffic {
    key: SigningKey,
    bytes: u64,
    bytes_per_probe: u64,
}

impl ControlTraffic {
    pub(crate) fn new() -> Self {
        let report = serde_json::to_string(&LoadReport::default()).unwrap_or_default();
        let probe = PROBE_REQUEST.len() + PROBE_RESPONSE_HEAD.len() + report.len();
        Self {
            key: SigningKey::new("policy"),
            bytes: 0,
            bytes_per_probe: probe as u64,
        }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn count_request(&mut self, request: &PeerRequest) {
        let signed = self.key.sign(request);
        let size = signed.and_then(|signed| bincode::serialized_size(&signed));
        self.bytes += size.unwrap_or_default();
    }

    pub(crate) fn count_reply_to_reserve(&mut self, grant: Grant, full: FullServer) {
        match grant {
            Grant::Full => self.count_reply(&PeerReply::Full(full)),
            other => self.count_reply(&PeerReply::Reserve(other)),
        }
    }

    pub(crate) fn count_reply_to_release(&mut self) {
        self.count_reply(&PeerReply::Released);
    }

    pub(crate) fn count_reply_to_heartbeat(&mut self) {
        let reply = HeartbeatReply {
            config_version: 1,
            known_incarnation: 1,
            ..HeartbeatReply::default()
        };
        self.count_reply(&PeerReply::Heartbeat(reply));
    }

    pub(crate) fn count_probes(&mut self, probes: usize) {
        self.bytes += self.bytes_per_probe * probes as u64;
    }

    fn count_reply(&mut self, reply: &PeerReply) {
        self.bytes += bincode::serialized_size(reply).unwrap_or_default();
    }
}
