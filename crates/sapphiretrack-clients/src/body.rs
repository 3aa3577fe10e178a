//! Reads the body of a request into one buffer, whose memory is reserved before it is used.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::memory::{ClientEvent, ClientMemory, HeldMemory, UploadMemory};

/// The first size of a body's buffer. It doubles as bytes arrive, so that a length that was announced and not sent
/// takes no memory.
const FIRST_BUFFER_BYTES: usize = 16 * 1024;

/// Why a body was not read to its end. The request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// It is longer than allowed.
    #[snafu(display("the body is over {limit_bytes} bytes"))]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The client stopped sending it, or sent something else.
    #[snafu(display("the body broke off"))]
    BrokeOff,
    /// There is no memory for it now.
    #[snafu(display("there is no memory for the body now (hint: retry)"))]
    NoMemory,
}

/// Reads a body of at most `limit_bytes` bytes. Its memory stays accounted for until the returned value is dropped.
/// A body that is announced to be too long, or for which there is no room, is refused before any of it is read.
pub async fn read_body<Content>(
    memory: &Arc<ClientMemory>,
    body: &mut Content,
    limit_bytes: usize,
) -> Result<(Bytes, Option<HeldMemory>), BodyError>
where
    Content: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    if announced == Some(0) {
        return Ok((Bytes::new(), None));
    }
    let upload = memory.begin_upload();
    if announced.is_some_and(|bytes| !memory.may_fit(bytes)) {
        return Err(refused(memory, &upload, 0));
    }
    let buffer = read_upload(memory, &upload, body, announced, limit_bytes).await?;
    Ok((Bytes::from(buffer), Some(upload.finish())))
}

async fn read_upload<Content>(
    memory: &Arc<ClientMemory>,
    upload: &UploadMemory,
    body: &mut Content,
    announced: Option<usize>,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError>
where
    Content: Body<Data = Bytes> + Unpin,
{
    let max_bytes = announced.unwrap_or(limit_bytes);
    let reclaim = upload.reclaim();
    let mut reclaim = pin!(reclaim.notified());
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = &mut reclaim => return Err(refused(memory, upload, buffer.len())),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(buffer);
        };
        let Ok(frame) = frame else {
            return Err(BodyError::BrokeOff);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        upload.record(data.len());
        let needed = buffer.len() + data.len();
        if needed > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        if needed > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(FIRST_BUFFER_BYTES);
            let capacity = doubled.min(max_bytes).max(needed);
            if !upload.grow(capacity - buffer.capacity()).await {
                return Err(refused(memory, upload, buffer.len()));
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
}

/// Reports that a body is not read further.
fn refused(memory: &ClientMemory, upload: &UploadMemory, received_bytes: usize) -> BodyError {
    let used_bytes = memory.used_bytes();
    memory.report(match upload.is_reclaimed() {
        true => ClientEvent::UploadReclaimed {
            received_bytes,
            used_bytes,
        },
        false => ClientEvent::UploadRefused {
            received_bytes,
            used_bytes,
        },
    });
    BodyError::NoMemory
}
