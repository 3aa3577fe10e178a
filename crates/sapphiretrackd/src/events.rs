//! The numbered events of the log; `docs/events.md` lists them.

use log::Level;

/// The log target of all events; records with another target come from libraries.
pub(crate) const LOG_TARGET: &str = "sapphiretrackd";
/// The field that carries an event's number.
const NUMBER_FIELD: &str = "event";

/// An event of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event's number, which never changes its meaning.
    pub number: u16,
    /// The log level.
    pub level: Level,
    /// The message.
    pub text: &'static str,
}

impl Event {
    /// The router started and serves requests.
    pub const STARTED: Self = Self::new(100, Level::Info, "router started");
    /// A planned stop began.
    pub const STOPPING: Self = Self::new(101, Level::Info, "planned stop began");
    /// The planned stop ended.
    pub const STOPPED: Self = Self::new(102, Level::Info, "planned stop ended");
    /// The planned stop reached its limit with requests still in flight.
    pub const STOP_LIMIT_REACHED: Self = Self::new(103, Level::Error, "stop limit reached");
    /// Another stop signal arrived during a planned stop.
    pub const SIGNAL_IGNORED: Self = Self::new(
        104,
        Level::Warn,
        "signal ignored, a planned stop is in progress",
    );
    /// A newer configuration came into force.
    pub const CONFIG_IN_FORCE: Self = Self::new(200, Level::Info, "configuration in force");
    /// A configuration older than the one in force was received and dropped.
    pub const OLDER_CONFIG_DROPPED: Self =
        Self::new(201, Level::Warn, "older configuration dropped");
    /// The platform cannot be reached.
    pub const PLATFORM_LOST: Self = Self::new(210, Level::Warn, "platform unreachable");
    /// The platform can be reached again.
    pub const PLATFORM_RESTORED: Self = Self::new(211, Level::Info, "platform reachable again");
    /// Neither the platform nor a peer was reached for too long.
    pub const ISOLATED: Self = Self::new(212, Level::Error, "isolated, new work is refused");
    /// The isolation ended.
    pub const ISOLATION_ENDED: Self = Self::new(213, Level::Info, "isolation ended");
    /// A row of the platform cannot be used.
    pub const ROW_UNUSABLE: Self = Self::new(214, Level::Warn, "platform row unusable");
    /// A peer was seen for the first time.
    pub const PEER_JOINED: Self = Self::new(300, Level::Info, "peer joined");
    /// A peer is leaving.
    pub const PEER_LEAVING: Self = Self::new(301, Level::Info, "peer is leaving");
    /// A peer has not been seen for too long.
    pub const PEER_LOST: Self = Self::new(302, Level::Warn, "peer lost");
    /// A peer message had a wrong signature or was malformed.
    pub const PEER_REJECTED: Self = Self::new(303, Level::Warn, "peer message rejected");
    /// A backend server was listed for the first time.
    pub const SERVER_JOINED: Self = Self::new(400, Level::Info, "backend server joined");
    /// A backend server is leaving.
    pub const SERVER_LEAVING: Self = Self::new(401, Level::Info, "backend server is leaving");
    /// A backend server is no longer listed or does not report its load.
    pub const SERVER_LOST: Self = Self::new(402, Level::Warn, "backend server lost");
    /// An attempt failed.
    pub const ATTEMPT_FAILED: Self = Self::new(500, Level::Warn, "attempt failed");
    /// A reply to another attempt was dropped.
    pub const CROSSED_REPLY: Self = Self::new(501, Level::Error, "crossed reply dropped");
    /// A write of the answer of a non-idempotent request failed.
    pub const RECORD_FAILED: Self = Self::new(502, Level::Warn, "failed to record an answer");
    /// Connections without a running request were closed, as others needed their places.
    pub const CLIENT_CONNECTION_CLOSED: Self =
        Self::new(510, Level::Warn, "idle connection closed for another one");
    /// A body was not read further, as others needed its memory and it hardly moved.
    pub const BODY_RECLAIMED: Self =
        Self::new(511, Level::Warn, "stalled body given up for others");
    /// There was no memory for a body.
    pub const BODY_REFUSED: Self = Self::new(512, Level::Warn, "no memory for a body");
    /// The control thread was paused; nothing is granted based on its state before the pause.
    pub const CONTROL_THREAD_PAUSED: Self =
        Self::new(220, Level::Warn, "control thread was paused");
    /// This router acquired the lease for orders to engines.
    pub const ORDER_LEASE_ACQUIRED: Self = Self::new(410, Level::Info, "order lease acquired");
    /// An engine accepted an order.
    pub const ORDER_ACCEPTED: Self = Self::new(411, Level::Info, "order accepted");
    /// An engine refused an order: the fencing number is outdated, or the engine restarted.
    pub const ORDER_REFUSED: Self = Self::new(412, Level::Warn, "order refused");
    /// There was no reply to an order; the engine's state shows whether it took effect.
    pub const ORDER_UNANSWERED: Self = Self::new(413, Level::Warn, "no reply to an order");

    /// The platform had lost newer configurations; this router wrote its own back.
    pub const CONFIG_REPUBLISHED: Self = Self::new(
        202,
        Level::Warn,
        "configuration written back to the platform",
    );
    /// Several attempts in a row failed on a backend server: it gets no requests for a while.
    pub const SERVER_EJECTED: Self = Self::new(503, Level::Warn, "backend server ejected");
    /// Claims past their retention were deleted.
    pub const CLAIMS_SWEPT: Self = Self::new(504, Level::Info, "expired claims deleted");

    /// The placement memory was sent to the peers during the planned stop.
    pub const MEMORY_HANDED_OVER: Self =
        Self::new(520, Level::Info, "placement memory handed over");
    /// A snapshot of a placement memory was merged: this router's own or that of a lost peer.
    pub const MEMORY_MERGED: Self = Self::new(521, Level::Info, "placement snapshot merged");
    /// A router has no snapshot: it is new, or it ended before it wrote one.
    pub const MEMORY_MISSING: Self = Self::new(522, Level::Info, "no placement snapshot");
    /// A snapshot is damaged, belongs to another router, has another format or could not be read.
    pub const MEMORY_NOT_USED: Self = Self::new(523, Level::Warn, "placement snapshot not used");
    /// This router's snapshot could not be written.
    pub const MEMORY_NOT_WRITTEN: Self =
        Self::new(524, Level::Warn, "placement snapshot not written");

    /// All events.
    pub const ALL: &'static [Self] = &[
        Self::STARTED,
        Self::STOPPING,
        Self::STOPPED,
        Self::STOP_LIMIT_REACHED,
        Self::SIGNAL_IGNORED,
        Self::CONFIG_IN_FORCE,
        Self::OLDER_CONFIG_DROPPED,
        Self::PLATFORM_LOST,
        Self::PLATFORM_RESTORED,
        Self::ISOLATED,
        Self::ISOLATION_ENDED,
        Self::ROW_UNUSABLE,
        Self::PEER_JOINED,
        Self::PEER_LEAVING,
        Self::PEER_LOST,
        Self::PEER_REJECTED,
        Self::SERVER_JOINED,
        Self::SERVER_LEAVING,
        Self::SERVER_LOST,
        Self::ATTEMPT_FAILED,
        Self::CROSSED_REPLY,
        Self::RECORD_FAILED,
        Self::CONFIG_REPUBLISHED,
        Self::SERVER_EJECTED,
        Self::CLAIMS_SWEPT,
        Self::CLIENT_CONNECTION_CLOSED,
        Self::BODY_RECLAIMED,
        Self::BODY_REFUSED,
        Self::CONTROL_THREAD_PAUSED,
        Self::ORDER_LEASE_ACQUIRED,
        Self::ORDER_ACCEPTED,
        Self::ORDER_REFUSED,
        Self::ORDER_UNANSWERED,
        Self::MEMORY_HANDED_OVER,
        Self::MEMORY_MERGED,
        Self::MEMORY_MISSING,
        Self::MEMORY_NOT_USED,
        Self::MEMORY_NOT_WRITTEN,
    ];

    const fn new(number: u16, level: Level, text: &'static str) -> Self {
        Self {
            number,
            level,
            text,
        }
    }

    /// Logs the event with its fields.
    pub(crate) fn log(self, fields: &[(&str, &str)]) {
        let mut all = vec![(NUMBER_FIELD, self.number.to_string())];
        all.extend(
            fields
                .iter()
                .map(|(key, value)| (*key, (*value).to_owned())),
        );
        log::logger().log(
            &log::Record::builder()
                .level(self.level)
                .target(LOG_TARGET)
                .args(format_args!("{}", self.text))
                .key_values(&all.as_slice())
                .build(),
        );
    }
}
