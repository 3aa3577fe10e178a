//! The attempts made for a request so far, by this router and the one that passed it on.

use std::net::SocketAddr;

use http::Response;
use sapphiretrack_routing::Incarnation;

use crate::answer::AnswerBody;
use crate::attempt::AttemptFailure;
use crate::peer_hop::{HopAnswer, HopRequest};
use crate::settings::AttemptSettings;

/// Counts of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Servers that the request was placed on, including those that could not be reached.
    pub(crate) tried: Vec<Incarnation>,
    /// Attempts in which the request may have run.
    pub(crate) possible_runs: u32,
    /// Attempts in which the request was sent.
    pub(crate) offers: u32,
    /// Attempts whose connection was lost before the answer was complete.
    pub(crate) connection_losses: usize,
    /// Whether the request counts towards the retry budget of this router, or of the one that passed it
    /// on and repeats it if need be.
    pub(crate) is_counted: bool,
    /// Whether the next attempt is charged to the retry budget already.
    pub(crate) is_retry_reserved: bool,
    /// Routers that did not serve the request.
    pub(crate) declined_by: Vec<SocketAddr>,
    /// The router that passed on the answer of the last attempt, if one did.
    pub(crate) answered_through: Option<SocketAddr>,
    /// Routers whose connections were lost before the answer was complete. They may have ended.
    pub(crate) lost_routers: Vec<SocketAddr>,
    /// Whether no other router is asked any more.
    pub(crate) is_limited_to_servers: bool,
    /// Another router's refusal.
    pub(crate) refusal: Option<Response<AnswerBody>>,
}

impl Attempts {
    /// The attempts before a request reached this router.
    pub(crate) fn before(hop: Option<HopRequest>) -> Self {
        let is_counted = hop.is_some();
        let hop = hop.unwrap_or_default();
        Self {
            offers: hop.offers,
            possible_runs: hop.possible_runs,
            is_counted,
            is_retry_reserved: hop.is_retry_reserved,
            ..Self::default()
        }
    }

    /// Counts the attempts that another router made for the request.
    pub(crate) fn add_stated(&mut self, stated: HopAnswer) {
        self.offers = self.offers.max(stated.offers);
        self.possible_runs = self.possible_runs.max(stated.possible_runs);
    }

    /// Whether another server may be tried. Servers to which nothing was sent count towards the
    /// limit only beyond an allowance of their own.
    pub(crate) fn may_try_another(&self, settings: &AttemptSettings) -> bool {
        let unreachable = (self.tried.len() as u32).saturating_sub(self.offers);
        let counted = self.offers + unreachable.saturating_sub(settings.max_unreachable);
        counted < settings.max_offers
    }

    /// Counts a failure if the connection was lost.
    pub(crate) fn note_connection_loss(&mut self, failure: AttemptFailure) {
        let answered_through = self.answered_through.take();
        if let AttemptFailure::ConnectionLost(_) = failure {
            self.connection_losses += 1;
            self.lost_routers.extend(answered_through);
        }
    }
}
