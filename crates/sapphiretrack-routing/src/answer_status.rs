//! What the status of an answer promises its caller, apart from what a server states about the request.

use crate::RequestKind;

/// Returns whether callers take an answer with this status as the promise that their request has not run and
/// never will, and send it again.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether a server's answer to a request that it may have run can be passed on to the caller. One with
/// a status that promises the contrary cannot, unless a second run does no harm.
pub fn can_pass_on(status: u16, kind: RequestKind) -> bool {
    kind.may_run_again() || !promises_not_run(status)
}
