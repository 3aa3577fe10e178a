//! The bodies of answers whose bytes count as held until they are written to the caller's connection.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use futures::Stream;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use sapphiretrack_routing::{HeldAnswer, HeldPiece};

use crate::answer::{AnswerBody, TruncatedBody};
use crate::lock::lock;

/// The bytes of a streamed answer above which no more of it is read until some are written, while the
/// budget is used up. Without this limit, the connection queues bytes up to the size of its read buffer.
const MAX_UNWRITTEN_BYTES: usize = 16 * 1024;

/// The pieces of a streamed answer.
pub(crate) type PieceStream = Pin<Box<dyn Stream<Item = Result<HeldPiece, TruncatedBody>> + Send>>;

/// A body that was read completely.
pub(crate) fn held_body(answer: HeldAnswer) -> AnswerBody {
    WholeBody(answer).boxed_unsync()
}

/// A body that is read as fast as it is written to the caller. `length` is its length, if that is
/// known: a body that ends before is visibly incomplete also to callers that do not know chunks.
/// `is_over_budget` tells whether the held answers exceed their budget.
pub(crate) fn streamed_body<IsOver>(
    pieces: PieceStream,
    length: Option<u64>,
    is_over_budget: IsOver,
) -> AnswerBody
where
    IsOver: Fn() -> bool + Send + 'static,
{
    let body = StreamedBody {
        pieces,
        is_over_budget: Box::new(is_over_budget),
        failure: None,
        left: length,
        unwritten: Arc::default(),
    };
    body.boxed_unsync()
}

struct WholeBody(HeldAnswer);

impl Body for WholeBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let piece = self.0.take_piece();
        Poll::Ready(piece.map(|piece| Ok(Frame::data(Bytes::from_owner(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

struct StreamedBody {
    pieces: PieceStream,
    is_over_budget: Box<dyn Fn() -> bool + Send>,
    /// Why there are no further pieces, until the connection has written those before.
    failure: Option<TruncatedBody>,
    /// The bytes that are still to come, if their number is known.
    left: Option<u64>,
    unwritten: Arc<Unwritten>,
}

/// The bytes of an answer that its connection has taken and not written yet.
#[derive(Debug, Default)]
struct Unwritten(Mutex<UnwrittenState>);

#[derive(Debug, Default)]
struct UnwrittenState {
    bytes: usize,
    /// Woken when bytes were written.
    waker: Option<Waker>,
}

impl Unwritten {
    /// Waits until there are fewer bytes than `limit_bytes`.
    fn poll_below(&self, limit_bytes: usize, context: &Context<'_>) -> Poll<()> {
        let mut state = lock(&self.0);
        if state.bytes < limit_bytes {
            return Poll::Ready(());
        }
        state.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

/// A piece that a connection has taken.
struct UnwrittenPiece {
    piece: HeldPiece,
    unwritten: Arc<Unwritten>,
}

impl UnwrittenPiece {
    fn new(piece: HeldPiece, unwritten: &Arc<Unwritten>) -> Self {
        lock(&unwritten.0).bytes += piece.as_ref().len();
        Self {
            piece,
            unwritten: unwritten.clone(),
        }
    }
}

impl AsRef<[u8]> for UnwrittenPiece {
    fn as_ref(&self) -> &[u8] {
        self.piece.as_ref()
    }
}

impl Drop for UnwrittenPiece {
    fn drop(&mut self) {
        let waker = {
            let mut state = lock(&self.unwritten.0);
            state.bytes -= self.piece.as_ref().len();
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl StreamedBody {
    /// Counts a piece as unwritten until the connection drops it.
    fn take_piece(&mut self, piece: HeldPiece) -> Frame<Bytes> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(piece.as_ref().len() as u64);
        }
        let piece = UnwrittenPiece::new(piece, &self.unwritten);
        Frame::data(Bytes::from_owner(piece))
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        if self.failure.is_none() {
            if (self.is_over_budget)() {
                ready!(self.unwritten.poll_below(MAX_UNWRITTEN_BYTES, context));
            }
            let Some(piece) = ready!(self.pieces.as_mut().poll_next(context)) else {
                return Poll::Ready(None);
            };
            match piece {
                Ok(piece) => return Poll::Ready(Some(Ok(self.take_piece(piece)))),
                Err(failure) => self.failure = Some(failure),
            }
        }
        // The connection drops what it has not written when the body fails.
        ready!(self.unwritten.poll_below(1, context));
        Poll::Ready(self.failure.take().map(Err))
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
