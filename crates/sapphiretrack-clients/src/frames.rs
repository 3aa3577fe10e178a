//! A stream of frames behind their lengths, whose bytes are accounted for while a frame is incomplete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::futures::OwnedNotified;

use crate::memory::{ClientMemory, UploadMemory};

/// The length of a frame's head: the number of its bytes, the highest first.
const HEAD_BYTES: usize = 4;
/// The step in which a frame's memory is reserved.
const STEP_BYTES: usize = 64 * 1024;

/// Reads frames, each as an upload: one that holds much and moves little gives way while others need the room. A read
/// fails if there is no memory for its frame.
pub struct MeteredFrames<Stream> {
    stream: Stream,
    memory: Arc<ClientMemory>,
    position: FramePosition,
    frame: Option<FrameMemory>,
}

/// The memory of a frame that is incomplete.
struct FrameMemory {
    upload: UploadMemory,
    reclaim: Pin<Box<OwnedNotified>>,
    received_bytes: usize,
    reserved_bytes: usize,
}

/// Where in a frame a stream is.
#[derive(Debug, Default)]
struct FramePosition {
    head: [u8; HEAD_BYTES],
    head_bytes: usize,
    left_bytes: usize,
}

impl FramePosition {
    /// Advances over received bytes. Returns how many of them belong to the frame that is incomplete after them.
    fn advance(&mut self, mut bytes: &[u8]) -> usize {
        let mut incomplete_bytes = 0;
        while let Some((first, rest)) = bytes.split_first() {
            if self.left_bytes > 0 {
                let count = self.left_bytes.min(bytes.len());
                self.left_bytes -= count;
                incomplete_bytes = if self.left_bytes > 0 {
                    incomplete_bytes + count
                } else {
                    0
                };
                bytes = &bytes[count..];
                continue;
            }
            self.head[self.head_bytes] = *first;
            self.head_bytes += 1;
            bytes = rest;
            if self.head_bytes == HEAD_BYTES {
                self.head_bytes = 0;
                self.left_bytes = u32::from_be_bytes(self.head) as usize;
            }
        }
        incomplete_bytes
    }
}

impl<Stream> MeteredFrames<Stream> {
    /// Accounts for the frames that are read from a stream.
    pub fn new(stream: Stream, memory: Arc<ClientMemory>) -> Self {
        Self {
            stream,
            memory,
            position: FramePosition::default(),
            frame: None,
        }
    }

    /// Accounts for received bytes. Fails if there is no memory for them.
    fn receive(&mut self, bytes: &[u8]) -> io::Result<()> {
        let incomplete_bytes = self.position.advance(bytes);
        if self.position.left_bytes == 0 || incomplete_bytes < bytes.len() {
            // The frame before has ended.
            self.frame = None;
        }
        if self.position.left_bytes == 0 {
            return Ok(());
        }
        let memory = &self.memory;
        let frame = self.frame.get_or_insert_with(|| {
            let upload = memory.begin_upload();
            let reclaim = Box::pin(upload.reclaim().notified_owned());
            FrameMemory {
                upload,
                reclaim,
                received_bytes: 0,
                reserved_bytes: 0,
            }
        });
        frame.received_bytes += incomplete_bytes;
        frame.upload.record(incomplete_bytes);
        let needed = frame.received_bytes.next_multiple_of(STEP_BYTES);
        let missing = needed - frame.reserved_bytes;
        if missing > 0 && !frame.upload.grow_at_once(missing) {
            return Err(no_memory());
        }
        frame.reserved_bytes = needed;
        Ok(())
    }
}

fn no_memory() -> io::Error {
    io::Error::other("no memory for the frame")
}

impl<Stream> AsyncRead for MeteredFrames<Stream>
where
    Stream: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(frame) = &mut self.frame
            && frame.reclaim.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Err(no_memory()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.receive(&buffer.filled()[before..]))
    }
}

impl<Stream> AsyncWrite for MeteredFrames<Stream>
where
    Stream: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
