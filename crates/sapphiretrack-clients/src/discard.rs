//! Reads on after a refusal, since a connection that is closed while its client still sends is reset, and the client
//! may lose the answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::timeout;

/// How long the rest of a body is read and discarded.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);
/// The most bytes that are discarded of one body.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// The most bodies that are discarded at a time; connections beyond that are closed.
const MAX_DISCARDING: usize = 64;

static DISCARDING: AtomicUsize = AtomicUsize::new(0);

struct Discarding;

impl Discarding {
    fn begin() -> Option<Self> {
        let before = DISCARDING.fetch_add(1, Ordering::Relaxed);
        let begun = Self;
        (before < MAX_DISCARDING).then_some(begun)
    }
}

impl Drop for Discarding {
    fn drop(&mut self) {
        DISCARDING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads the rest of a refused request's body in the background and discards it, within limits of time, of bytes and
/// of the number of such bodies. The connection is closed if the body has not ended by then. A client that
/// waits to be asked for its body (`Expect`) is not asked.
pub fn discard_body<Content>(mut body: Content, expects_continue: bool)
where
    Content: Body<Data = Bytes> + Send + Unpin + 'static,
    Content::Error: Send,
{
    if expects_continue || body.is_end_stream() {
        return;
    }
    let Some(discarding) = Discarding::begin() else {
        return;
    };
    tokio::spawn(async move {
        let _discarding = discarding;
        let mut left_bytes = MAX_DISCARDED_BYTES;
        let reading = async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                match left_bytes.checked_sub(bytes) {
                    Some(left) => left_bytes = left,
                    None => return,
                }
            }
        };
        // Dropping the body closes a connection on which it has not ended.
        drop(timeout(DISCARD_LIMIT, reading).await);
    });
}
