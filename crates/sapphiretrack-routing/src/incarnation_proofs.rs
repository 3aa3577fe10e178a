//! Which incarnation of a server answers at its address, by what servers state of themselves.

use std::collections::{HashMap, HashSet};

use crate::{Incarnation, ServerEntry, SoftwareVersion, Unconfirmed};

/// What a server's answer shows of a listed incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatedIncarnation {
    /// The server states the listed start time.
    Same,
    /// It states another one: it has started again.
    Other,
    /// It states none, or did not answer.
    Unknown,
}

/// Until when servers were proven to be their listed incarnations.
///
/// A connection to an incarnation is opened while that is listed. If the server still states the listed start time
/// afterwards, it had not started again when the connection was opened, however late it writes its entry.
#[derive(Clone, Debug, Default)]
pub struct IncarnationProofs {
    /// When the last question was sent to which a server answered with its listed start time.
    proven_ms: HashMap<Incarnation, u64>,
    questions: HashMap<Incarnation, Question>,
    /// When the last question was sent.
    asked_ms: HashMap<Incarnation, u64>,
    /// The last proof of each incarnation. Kept for a time after it has left the list, since its streams go on elsewhere.
    versions: HashMap<Incarnation, ProvenVersion>,
}

/// A version that a server was proven to run.
#[derive(Clone, Copy, Debug)]
struct ProvenVersion {
    software: SoftwareVersion,
    /// Streams at the server that depend on a time up to this one began at the version.
    proven_store_ms: u64,
    at_ms: u64,
}

/// The state of the questions to a server.
#[derive(Clone, Copy, Debug)]
enum Question {
    /// One is not answered yet.
    Asked,
    /// The last one proved nothing.
    Failed { at_ms: u64, is_other: bool },
}

impl IncarnationProofs {
    /// Pause in milliseconds after a question that proved nothing.
    pub const RETRY_MS: u64 = 500;
    /// How long the proof of a server that is not listed any more is kept, in milliseconds.
    const KEPT_MS: u64 = 60_000;

    /// Returns whether a connection that was opened at a time leads to the incarnation.
    pub fn is_proven(&self, server: Incarnation, opened_ms: u64) -> bool {
        let proven_ms = self.proven_ms.get(&server);
        proven_ms.is_some_and(|proven_ms| opened_ms <= *proven_ms)
    }

    /// Returns whether the server has started again, by what it stated last.
    pub fn has_restarted(&self, server: Incarnation) -> bool {
        let question = self.questions.get(&server);
        matches!(question, Some(Question::Failed { is_other: true, .. }))
    }

    /// Returns whether any server has started again, by what it stated last.
    pub fn has_any_restarted(&self) -> bool {
        let mut questions = self.questions.keys();
        questions.any(|server| self.has_restarted(*server))
    }

    /// Records that a proof is needed. Returns whether to ask the server now: one question at a time, and `pause_ms` after
    /// the last one.
    pub fn want(&mut self, server: Incarnation, pause_ms: u64, now_ms: u64) -> bool {
        let is_held_back = match self.questions.get(&server) {
            Some(Question::Asked) => true,
            // What a server stated of another start stays true.
            Some(Question::Failed { at_ms, is_other }) => {
                *is_other || now_ms < *at_ms + Self::RETRY_MS
            }
            None => false,
        };
        if is_held_back {
            return false;
        }
        let asked_ms = self.asked_ms.get(&server);
        if asked_ms.is_some_and(|asked_ms| now_ms < asked_ms.saturating_add(pause_ms)) {
            return false;
        }
        self.questions.insert(server, Question::Asked);
        self.asked_ms.insert(server, now_ms);
        true
    }

    /// Records the answer to a question that was sent at a time.
    pub fn record_answer(
        &mut self,
        server: Incarnation,
        stated: StatedIncarnation,
        asked_ms: u64,
        now_ms: u64,
    ) {
        if stated == StatedIncarnation::Same {
            self.questions.remove(&server);
            let proven_ms = self.proven_ms.entry(server).or_insert(asked_ms);
            *proven_ms = asked_ms.max(*proven_ms);
            return;
        }
        let failed = Question::Failed {
            at_ms: now_ms,
            is_other: stated == StatedIncarnation::Other,
        };
        self.questions.insert(server, failed);
    }

    /// Records that streams that depend on a server, up to a time, began at its listed version.
    pub fn record_version(&mut self, server: &ServerEntry, proven_store_ms: u64, now_ms: u64) {
        let proven = ProvenVersion {
            software: server.software(),
            proven_store_ms,
            at_ms: now_ms,
        };
        self.versions.insert(server.incarnation, proven);
    }

    /// Returns whether a version that began a stream is proven by what its server stated.
    pub fn confirms(&self, software: SoftwareVersion, dependence: &Unconfirmed) -> bool {
        let proven = self.versions.get(&Incarnation(dependence.server));
        proven.is_some_and(|proven| {
            proven.software == software && dependence.proven_store_ms <= proven.proven_store_ms
        })
    }

    /// Forgets servers that are not listed.
    pub fn retain_listed(&mut self, listed: &HashSet<Incarnation>, now_ms: u64) {
        self.proven_ms.retain(|server, _| listed.contains(server));
        self.questions.retain(|server, _| listed.contains(server));
        self.asked_ms.retain(|server, _| listed.contains(server));
        self.versions.retain(|server, proven| {
            listed.contains(server) || now_ms < proven.at_ms + Self::KEPT_MS
        });
    }
}
