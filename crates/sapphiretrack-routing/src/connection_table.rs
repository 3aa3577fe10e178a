//! The open connections of a listener, and which one gives way to the next.

use std::collections::BTreeMap;

/// How long a connection without a request is kept at least. A caller's first request arrives within it.
const MIN_IDLE_MS: u64 = 100;
/// How long a request may be read before its connection gives way to others.
const MIN_UPLOAD_MS: u64 = 2_000;

/// The part of the most connections that gives way at a time, so that a crowd does not keep others waiting.
const CLOSED_PART: usize = 4;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No request has arrived whole up to its body.
    Idle,
    /// The body of a request is being read.
    Uploading,
    /// A request runs, or its answer is being sent.
    Running,
}

#[derive(Clone, Debug)]
struct Connection {
    /// Requests in each phase other than idle.
    uploading: usize,
    running: usize,
    since_ms: u64,
    is_closing: bool,
}

impl Connection {
    fn phase(&self) -> ConnectionPhase {
        match (self.running, self.uploading) {
            (0, 0) => ConnectionPhase::Idle,
            (0, _) => ConnectionPhase::Uploading,
            _ => ConnectionPhase::Running,
        }
    }
}

/// The open connections of a listener. The one that is idle longest gives way to a new one, and only then.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTable {
    max_connections: usize,
    connections: BTreeMap<u64, Connection>,
    last_id: u64,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            ..Self::default()
        }
    }

    /// Sets the most connections. Those that are open stay open.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Opens a connection if there is room.
    pub fn open(&mut self, now_ms: u64) -> Option<u64> {
        if self.connections.len() >= self.max_connections {
            return None;
        }
        self.last_id += 1;
        let connection = Connection {
            uploading: 0,
            running: 0,
            since_ms: now_ms,
            is_closing: false,
        };
        self.connections.insert(self.last_id, connection);
        Some(self.last_id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// Records that a request moves from one phase to another; a request begins and ends in the idle phase.
    pub fn move_request(
        &mut self,
        id: u64,
        from: ConnectionPhase,
        to: ConnectionPhase,
        now_ms: u64,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let count = |connection: &mut Connection, phase, by: isize| {
            let count = match phase {
                ConnectionPhase::Idle => return,
                ConnectionPhase::Uploading => &mut connection.uploading,
                ConnectionPhase::Running => &mut connection.running,
            };
            *count = count.saturating_add_signed(by);
        };
        count(connection, from, -1);
        count(connection, to, 1);
        connection.since_ms = now_ms;
    }

    /// Chooses the connections that give way to new ones: those that are idle longest, and otherwise those whose
    /// bodies are read longest. None if all are busy or too new, or those chosen before have not ended yet.
    pub fn choose_closing(&mut self, now_ms: u64) -> Vec<u64> {
        if self.connections.values().any(|one| one.is_closing) {
            return Vec::new();
        }
        let age_ms = |one: &Connection| now_ms.saturating_sub(one.since_ms);
        let candidates = self
            .connections
            .iter()
            .filter(|(_, one)| match one.phase() {
                ConnectionPhase::Idle => age_ms(one) >= MIN_IDLE_MS,
                ConnectionPhase::Uploading => age_ms(one) >= MIN_UPLOAD_MS,
                ConnectionPhase::Running => false,
            });
        let rank = |one: &Connection| (one.phase() == ConnectionPhase::Idle, age_ms(one));
        let mut ranked: Vec<_> = candidates.map(|(id, one)| (rank(one), *id)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate((self.max_connections / CLOSED_PART).max(1));
        let chosen: Vec<u64> = ranked.into_iter().map(|(_, id)| id).collect();
        for id in &chosen {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.is_closing = true;
            }
        }
        chosen
    }

    /// Whether a connection that was chosen may be closed: it may have begun a request since. If not, another one
    /// may be chosen.
    pub fn confirm_closing(&mut self, id: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        let may_close = connection.phase() != ConnectionPhase::Running;
        connection.is_closing = may_close;
        may_close
    }
}
