//! Answers to callers: their bodies, the answers that this router generates, and hop-by-hop
//! headers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// An answer body that cannot be completed. The connection is aborted, so that the caller can
/// detect that the body is incomplete.
#[derive(Debug, Snafu)]
#[snafu(display("answer body truncated: {reason}"))]
pub(crate) struct TruncatedBody {
    pub(crate) reason: &'static str,
}

/// The body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, TruncatedBody>;

/// The body of an answer that this router generates.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The shortest `retry-after`, in milliseconds: the header has two decimal places.
const MIN_RETRY_AFTER_MS: u64 = 10;

/// An answer that this router generates. Callers must not pass a status which promises that the
/// request has not run unless that is certain.
pub(crate) fn generated_answer(
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    let text = HeaderValue::from_static("text/plain");
    headers.insert(header::CONTENT_TYPE, text);
    if let Some(retry_after_ms) = retry_after_ms {
        // Never 0, which callers would follow by returning at once.
        let retry_after_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS);
        let seconds = format!("{:.2}", retry_after_ms as f64 / 1_000.0);
        // Digits and a decimal point always form a valid header value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// An answer to another router's question.
pub(crate) fn text_answer(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

/// Removes hop-by-hop headers, including those that the `connection` header names.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let always_removed = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in always_removed {
        headers.remove(name);
    }
}
