//! Builds the request of an attempt.

use http::{Request, Version};
use http_body_util::Full;

use crate::job::Job;
use crate::placement::Placement;
use crate::ports::AttemptHeaders;

/// Builds the request that is sent to the server.
pub(crate) fn attempt_request(
    job: &Job,
    placement: &Placement,
    resume_after: Option<u64>,
    left_ms: u64,
) -> Request<Full<bytes::Bytes>> {
    let mut headers = job.headers.clone();
    let attempt = AttemptHeaders {
        server_id: &placement.server.id,
        tenant: job.tenant.as_deref(),
        left_ms,
        priority: job.priority,
        is_over_share: placement.is_over_share,
        fetch_from: placement.fetch_from,
        resume_after,
    };
    (job.interface.write_attempt)(&mut headers, &attempt);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}
