//! Tests of the statuses by which callers decide whether to send a request again.

use sapphiretrack_routing::{RequestKind, can_pass_on, promises_not_run};

const PROMISING: [u16; 4] = [408, 421, 429, 503];

/// Guards against REFUSED: callers of a request that a server may have run must get no status that promises the contrary.
#[test]
fn only_repeatable_requests_get_a_promising_status_of_a_server() {
    let kinds = [
        (RequestKind::Idempotent, true),
        (RequestKind::Stream { resumable: true }, true),
        (RequestKind::Stream { resumable: false }, false),
        (RequestKind::NonIdempotent, false),
    ];
    for status in 200..600 {
        let is_promising = PROMISING.contains(&status);
        assert_eq!(promises_not_run(status), is_promising, "{status}");
        for (kind, is_repeatable) in kinds {
            let expected = is_repeatable || !is_promising;
            assert_eq!(can_pass_on(status, kind), expected, "{status} {kind:?}");
        }
    }
}
