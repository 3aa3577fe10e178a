//! Signing of messages: each request and reply proves that its sender has the cell's key.

use bincode::Options;
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::wire::{
    MAX_FRAME_BYTES, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerReply, PeerRequest,
};

/// Length of the truncated HMAC-SHA-256 that is sent with a message, in bytes.
const SIGNATURE_BYTES: usize = 16;

/// A message with the signature that proves that its sender has the cell's key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Signed {
    /// The sender's protocol version.
    pub version: u16,
    /// The first bytes of the HMAC-SHA-256 under the cell's key of version and body; for a reply,
    /// of the request's signature, version and body.
    pub signature: [u8; SIGNATURE_BYTES],
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Result of verifying and decoding a signed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verification {
    /// The signature is valid, and this release can decode the request.
    Valid(PeerRequest),
    /// The signature is valid, and the request is of a later release that this one cannot decode.
    UnsupportedVersion,
    /// The request is not signed with the cell's key, is of a release that is too old, or is
    /// malformed.
    Invalid,
}

/// The signing key that all routers of a cell share.
#[derive(Clone)]
pub struct SigningKey {
    mac: Hmac<Sha256>,
}

impl SigningKey {
    /// Creates the key from the cell's secret. All routers of a cell need the same secret. An open
    /// cell uses the empty one.
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Encodes and signs a request.
    pub fn sign(&self, request: &PeerRequest) -> Result<Signed, bincode::Error> {
        let body = codec().serialize(request)?;
        Ok(self.sign_body(PROTOCOL_VERSION, body))
    }

    /// Signs an encoded request of any protocol version.
    pub fn sign_body(&self, version: u16, body: Vec<u8>) -> Signed {
        self.sign_with_context(&[], version, body)
    }

    /// Verifies and decodes a request.
    pub fn verify(&self, signed: &Signed) -> Verification {
        if signed.version < OLDEST_PROTOCOL_VERSION || !self.is_signature_valid(&[], signed) {
            return Verification::Invalid;
        }
        match decode(&signed.body) {
            Some(request) => Verification::Valid(request),
            None if signed.version > PROTOCOL_VERSION => Verification::UnsupportedVersion,
            None => Verification::Invalid,
        }
    }

    /// Encodes and signs the reply to a request. The signature is valid for this request only.
    pub fn sign_reply(
        &self,
        request: &Signed,
        reply: &PeerReply,
    ) -> Result<Signed, bincode::Error> {
        let body = codec().serialize(reply)?;
        Ok(self.sign_with_context(&request.signature, PROTOCOL_VERSION, body))
    }

    /// Verifies and decodes the reply to a request. Returns `None` if it is not signed for this
    /// request or is malformed.
    pub fn verify_reply(&self, request: &Signed, reply: &Signed) -> Option<PeerReply> {
        if !self.is_signature_valid(&request.signature, reply) {
            return None;
        }
        decode(&reply.body)
    }

    fn sign_with_context(&self, context: &[u8], version: u16, body: Vec<u8>) -> Signed {
        let mac = self.compute_mac(context, version, &body).finalize();
        let mut signature = [0; SIGNATURE_BYTES];
        signature.copy_from_slice(&mac.into_bytes()[..SIGNATURE_BYTES]);
        Signed {
            version,
            signature,
            body,
        }
    }

    fn is_signature_valid(&self, context: &[u8], signed: &Signed) -> bool {
        self.compute_mac(context, signed.version, &signed.body)
            .verify_truncated_left(&signed.signature)
            .is_ok()
    }

    fn compute_mac(&self, context: &[u8], version: u16, body: &[u8]) -> Hmac<Sha256> {
        self.mac
            .clone()
            .chain_update(context)
            .chain_update(version.to_le_bytes())
            .chain_update(body)
    }
}

/// Encodes integers with variable length. Ignores trailing bytes, which a later release may append.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
        .with_limit(MAX_FRAME_BYTES as u64)
        .allow_trailing_bytes()
}

fn decode<Message>(body: &[u8]) -> Option<Message>
where
    Message: DeserializeOwned,
{
    codec().deserialize(body).ok()
}
