//! Counts the bytes of answers that were read from servers and not yet written to callers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// The largest piece in which a held answer is handed out. The memory of each piece is freed once it is
/// written.
const PIECE_BYTES: usize = 16 * 1024;
/// The interval between two reports that answers do not fit.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// The bytes of all answers that a process holds.
#[derive(Debug, Default)]
pub struct HeldAnswers {
    bytes: AtomicUsize,
    next_report_ms: AtomicU64,
}

impl HeldAnswers {
    /// The number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether what is held fits into a budget; 0 stands for no limit.
    pub fn fits(&self, budget_bytes: usize) -> bool {
        budget_bytes == 0 || self.bytes() <= budget_bytes
    }

    /// Returns whether to report an answer that does not fit: at most once a second.
    pub fn is_report_due(&self, now_ms: u64) -> bool {
        let next_ms = self.next_report_ms.load(Ordering::Relaxed);
        let later_ms = now_ms + REPORT_INTERVAL_MS;
        let (next, relaxed) = (&self.next_report_ms, Ordering::Relaxed);
        now_ms >= next_ms
            && next
                .compare_exchange(next_ms, later_ms, relaxed, relaxed)
                .is_ok()
    }
}

/// Counts bytes as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    answers: Arc<HeldAnswers>,
    bytes: usize,
}

impl HeldBytes {
    /// Counts no bytes yet.
    pub fn new(answers: &Arc<HeldAnswers>) -> Self {
        Self {
            answers: answers.clone(),
            bytes: 0,
        }
    }

    /// Counts this number of bytes from now on.
    pub fn set(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.answers.bytes.fetch_add(more, Ordering::Relaxed),
            None => {
                let fewer = self.bytes - bytes;
                self.answers.bytes.fetch_sub(fewer, Ordering::Relaxed)
            }
        };
        self.bytes = bytes;
    }

    fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.answers.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.answers.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A piece of an answer, which counts as held until it is dropped.
#[derive(Debug)]
pub struct HeldPiece {
    bytes: Bytes,
    _held: HeldBytes,
}

impl HeldPiece {
    /// Counts these bytes.
    pub fn new(answers: &Arc<HeldAnswers>, bytes: Bytes) -> Self {
        let mut held = HeldBytes::new(answers);
        held.grow(bytes.len());
        Self { bytes, _held: held }
    }
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The part of an answer that was read so far and not taken yet.
#[derive(Debug)]
pub struct HeldAnswer {
    answers: Arc<HeldAnswers>,
    pieces: VecDeque<(BytesMut, HeldBytes)>,
    len: usize,
}

impl HeldAnswer {
    /// An empty answer.
    pub fn new(answers: &Arc<HeldAnswers>) -> Self {
        Self {
            answers: answers.clone(),
            pieces: VecDeque::new(),
            len: 0,
        }
    }

    /// The number of bytes that were not taken yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether all bytes were taken.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes that were read, and counts them.
    pub fn push(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            let last = self.pieces.back().map_or(PIECE_BYTES, |last| last.0.len());
            if last >= PIECE_BYTES {
                let piece = BytesMut::with_capacity(data.len().min(PIECE_BYTES));
                self.pieces
                    .push_back((piece, HeldBytes::new(&self.answers)));
                continue;
            }
            let (now, later) = data.split_at(data.len().min(PIECE_BYTES - last));
            if let Some((bytes, held)) = self.pieces.back_mut() {
                bytes.extend_from_slice(now);
                held.grow(now.len());
            }
            data = later;
        }
    }

    /// Takes the next piece, which stays counted until it is dropped.
    pub fn take_piece(&mut self) -> Option<HeldPiece> {
        let (bytes, held) = self.pieces.pop_front()?;
        self.len -= bytes.len();
        Some(HeldPiece {
            bytes: bytes.freeze(),
            _held: held,
        })
    }
}
