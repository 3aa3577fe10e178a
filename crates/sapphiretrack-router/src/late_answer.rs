//! Reads what a server states about itself in an answer that comes just after the caller's deadline.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_routing::ServerEntry;
use tokio::time::timeout;

use crate::connection_pool::SentRequest;
use crate::job::Job;
use crate::stated_availability::record_stated_availability;

/// How long after the caller's deadline the head of an answer is still read.
const LATE_ANSWER_MS: u64 = 100;

/// Waits in the background for the answer to a request that has timed out for its caller.
/// A server that has queued the request refuses it at the same deadline, and may ask for a pause.
pub(crate) fn read_late_answer<Sending>(job: &Job, server: &Arc<ServerEntry>, sending: Sending)
where
    Sending: Future<Output = SentRequest> + Send + 'static,
{
    let (shared, server) = (job.shared.clone(), server.clone());
    let (id, read_answer) = (job.facts.id.clone(), job.interface.read_answer);
    tokio::spawn(async move {
        let limit = Duration::from_millis(LATE_ANSWER_MS);
        let Ok((_, Ok(answer))) = timeout(limit, sending).await else {
            return;
        };
        let facts = read_answer(&answer.into_parts().0);
        if facts.answers(&id) && !facts.wrong_server {
            record_stated_availability(&shared, &server, facts.availability, &id);
        }
    });
}
