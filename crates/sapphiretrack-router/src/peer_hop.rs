//! The header by which routers describe a request that one passes to another, and its outcome.

use std::net::SocketAddr;

use http::{HeaderName, HeaderValue};
use sapphiretrack_routing::{Incarnation, Origin, SoftwareVersion, Unconfirmed};

/// The header of a request that a router passes on, and of its answer. Only routers see it.
pub(crate) const HOP: HeaderName = HeaderName::from_static("sapphiretrack-hop");

/// What the sender states about a request that it passes on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct HopRequest {
    /// Attempts in which the request was sent to a server so far.
    pub(crate) offers: u32,
    /// Attempts in which it may have run.
    pub(crate) possible_runs: u32,
    /// Whether the sender has charged the next attempt to the retry budget.
    pub(crate) is_retry_reserved: bool,
    /// The version of the sender's configuration.
    pub(crate) configuration: u64,
    /// The version of the software that the stream has to go on at; none if it may be any.
    pub(crate) required_origin: Option<Origin>,
}

/// How the receiver dealt with the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HopOutcome {
    /// The answer is a server's.
    Answered,
    /// It has not run, and another router would refuse it, too.
    Refused,
    /// It has not run, and another router may serve it.
    Declined,
    /// It may have run, and no server answered it.
    Failed,
}

/// What the receiver states in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HopAnswer {
    /// How the request ended.
    pub(crate) outcome: HopOutcome,
    /// Attempts in which it was sent to a server, by both routers.
    pub(crate) offers: u32,
    /// Attempts in which it may have run, by both routers.
    pub(crate) possible_runs: u32,
    /// The server that answered.
    pub(crate) server: Option<Incarnation>,
    /// The version of its software, and what that depends on until it is confirmed; none if it is not known.
    pub(crate) origin: Option<Origin>,
}

impl HopRequest {
    /// The value of [`HOP`].
    pub(crate) fn to_header(self) -> HeaderValue {
        let Self {
            offers,
            possible_runs,
            is_retry_reserved,
            configuration,
            required_origin,
        } = self;
        let reserved = u8::from(is_retry_reserved);
        let origin = origin_text(required_origin);
        header_value(format!(
            "{offers} {possible_runs} {reserved} {configuration}{origin}"
        ))
    }

    /// Parses the value of [`HOP`]; none if it is malformed.
    pub(crate) fn parse(value: &HeaderValue) -> Option<Self> {
        let ([offers, possible_runs, reserved, configuration], stated) =
            numbers(value.to_str().ok()?)?;
        let required_origin = parse_origin(&stated)?;
        Some(Self {
            offers: offers.try_into().ok()?,
            possible_runs: possible_runs.try_into().ok()?,
            is_retry_reserved: reserved != 0,
            configuration,
            required_origin,
        })
    }
}

impl HopAnswer {
    /// The value of [`HOP`].
    pub(crate) fn to_header(self) -> HeaderValue {
        let outcome = match self.outcome {
            HopOutcome::Answered => 0,
            HopOutcome::Refused => 1,
            HopOutcome::Declined => 2,
            HopOutcome::Failed => 3,
        };
        let server = self.server.map_or(0, |server| server.0);
        let (offers, possible_runs) = (self.offers, self.possible_runs);
        let origin = origin_text(self.origin);
        header_value(format!(
            "{outcome} {offers} {possible_runs} {server}{origin}"
        ))
    }

    /// Parses the value of [`HOP`]; none if it is malformed.
    pub(crate) fn parse(value: &HeaderValue) -> Option<Self> {
        let ([outcome, offers, possible_runs, server], stated) = numbers(value.to_str().ok()?)?;
        let origin = parse_origin(&stated)?;
        let outcome = match outcome {
            0 => HopOutcome::Answered,
            1 => HopOutcome::Refused,
            2 => HopOutcome::Declined,
            3 => HopOutcome::Failed,
            _ => return None,
        };
        Some(Self {
            outcome,
            offers: offers.try_into().ok()?,
            possible_runs: possible_runs.try_into().ok()?,
            server: (server != 0).then_some(Incarnation(server)),
            origin,
        })
    }
}

/// The address on which a router accepts requests of other routers: the port after the one for messages.
pub(crate) fn hop_address(peer_address: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer_address.ip(), peer_address.port().saturating_add(1))
}

/// The numbers of a version in the header: its own, and the two that it depends on while it is not confirmed.
fn origin_text(origin: Option<Origin>) -> String {
    let Some(origin) = origin else {
        return String::new();
    };
    let software = origin.software.0;
    match origin.unconfirmed {
        Some(on) => format!(" {software} {} {}", on.server, on.proven_store_ms),
        None => format!(" {software}"),
    }
}

/// Parses these numbers; none if they are malformed.
fn parse_origin(numbers: &[u64]) -> Option<Option<Origin>> {
    let (software, unconfirmed) = match *numbers {
        [] => return Some(None),
        [software] => (software, None),
        [software, server, proven_store_ms] => {
            let unconfirmed = Unconfirmed {
                server,
                proven_store_ms,
            };
            (software, Some(unconfirmed))
        }
        _ => return None,
    };
    Some(Some(Origin {
        software: SoftwareVersion(software),
        unconfirmed,
    }))
}

fn header_value(text: String) -> HeaderValue {
    // Digits and spaces always form a valid header value.
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Parses four numbers, and those that follow about versions of the software, which earlier releases do not
/// state.
fn numbers(text: &str) -> Option<([u64; 4], Vec<u64>)> {
    let numbers: Option<Vec<u64>> = text.split(' ').map(|number| number.parse().ok()).collect();
    let numbers = numbers?;
    let (first, rest) = numbers.split_first_chunk()?;
    Some((*first, rest.to_vec()))
}
