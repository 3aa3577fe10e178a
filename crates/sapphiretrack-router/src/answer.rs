//! Answers to callers: their bodies, and this router's own refusals and failures.

use std::pin::Pin;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use snafu::Snafu;

/// A body that is cut off: the caller must see that it is not complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut off: {reason}"))]
pub(crate) struct CutOff {
    pub(crate) reason: &'static str,
}

/// The body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, CutOff>;

/// Pieces of a streamed body.
pub(crate) type Pieces = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, CutOff>> + Send>>;

/// A body that is known as a whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that is passed on in pieces.
pub(crate) fn streamed(pieces: Pieces) -> AnswerBody {
    StreamBody::new(pieces).boxed_unsync()
}

/// An answer of this router's own. A status that promises that nothing ran must be true.
pub(crate) fn own_answer(
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    let text = HeaderValue::from_static("text/plain");
    headers.insert(header::CONTENT_TYPE, text);
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = format!("{:.2}", retry_after_ms as f64 / 1_000.0);
        // Digits and a point are always a valid value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// Removes the headers that concern one connection only.
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
    let fixed = [
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
    for name in fixed {
        headers.remove(name);
    }
}
