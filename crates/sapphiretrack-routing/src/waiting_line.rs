//! The order in which requests wait for room at a service, and who may not wait at all.

/// How requests wait for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingSettings {
    /// The most requests that wait for a plain service; 0: none waits.
    pub max_at_plain: u32,
    /// The most requests that wait for a service of engines; 0: none waits.
    pub max_at_engines: u32,
    /// How much earlier a request must have come to go before one of the next more urgent rank.
    /// Ranks shift the order and never shut anybody out.
    pub rank_ms: f64,
    /// The part of its time that a request may wait; the rest is for its answer.
    pub deadline_part: f64,
}

impl Default for WaitingSettings {
    fn default() -> Self {
        Self {
            max_at_plain: 256,
            max_at_engines: 0,
            rank_ms: 100.0,
            deadline_part: 0.7,
        }
    }
}

/// A request that looks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Whether its service has engines.
    pub is_for_engine: bool,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// When it came.
    pub came_ms: u64,
    /// Until when it must be sent to be answered within its objective.
    pub on_time_until_ms: u64,
    /// Until when sending it is of any use to its caller.
    pub useful_until_ms: u64,
}

/// Names a request in a line.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(u64);

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoWaiting {
    /// The line is full.
    LineFull,
    /// Those before it take all the time that it has.
    TooLate,
}

/// The requests that wait for one service.
///
/// Requests that can still be answered within their objective go first: under more load than there
/// is room for, a plain queue would answer all of them late. What is late already goes when none
/// of those waits.
#[derive(Clone, Debug, Default)]
pub struct WaitingLine {
    waiting: Vec<(Ticket, Waiting)>,
    tickets: u64,
}

impl WaitingLine {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a request wait, unless it would wait in vain. `sent_per_s` is how many of those that
    /// wait find room in a second; none while that is not known.
    pub fn enter(
        &mut self,
        settings: &WaitingSettings,
        request: Waiting,
        sent_per_s: Option<f64>,
        now_ms: u64,
    ) -> Result<Ticket, NoWaiting> {
        let most = match request.is_for_engine {
            true => settings.max_at_engines,
            false => settings.max_at_plain,
        };
        if self.waiting.len() >= most as usize {
            return Err(NoWaiting::LineFull);
        }
        let own = order(settings, &request, now_ms);
        let before = self.waiting.iter();
        let before = before.filter(|(_, other)| order(settings, other, now_ms) <= own);
        let wait_ms = sent_per_s.map_or(0.0, |sent_per_s| {
            before.count() as f64 / sent_per_s.max(0.1) * 1_000.0
        });
        if now_ms as f64 + wait_ms >= request.useful_until_ms as f64 {
            return Err(NoWaiting::TooLate);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.waiting.push((ticket, request));
        Ok(ticket)
    }

    /// The request that goes next.
    pub fn next(&self, settings: &WaitingSettings, now_ms: u64) -> Option<Ticket> {
        let key = |waiting: &Waiting| order(settings, waiting, now_ms);
        let waiting = self.waiting.iter();
        let first = waiting.min_by(|(_, a), (_, b)| {
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        first.map(|(ticket, _)| *ticket)
    }

    /// Whether a request that has just come would go before all that wait.
    pub fn goes_first(&self, settings: &WaitingSettings, request: &Waiting, now_ms: u64) -> bool {
        let own = order(settings, request, now_ms);
        let mut waiting = self.waiting.iter();
        waiting.all(|(_, other)| own < order(settings, other, now_ms))
    }

    /// Whether a request is late while others that are not wait: it does not get its turn before them.
    pub fn is_overtaken(&self, ticket: Ticket, now_ms: u64) -> bool {
        let is_late = |waiting: &Waiting| now_ms > waiting.on_time_until_ms;
        let mut own = self.waiting.iter().filter(|(other, _)| *other == ticket);
        own.any(|(_, waiting)| is_late(waiting))
            && self.waiting.iter().any(|(_, waiting)| !is_late(waiting))
    }

    /// Takes a request out, whether it was sent, refused, or left by its caller.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|(other, _)| *other != ticket);
    }
}

/// Whether a request is late, then its rank and age: the lower goes first.
fn order(settings: &WaitingSettings, request: &Waiting, now_ms: u64) -> (bool, f64) {
    let late = now_ms > request.on_time_until_ms;
    let handicap_ms = f64::from(request.priority) * settings.rank_ms;
    (late, request.came_ms as f64 + handicap_ms)
}
