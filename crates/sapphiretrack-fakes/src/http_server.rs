//! HTTP server and response helpers that all fakes share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

/// Response body. A frame that is an error makes the server close the connection.
pub(crate) type FakeBody = BoxBody<Bytes, std::io::Error>;
/// Response of a fake.
pub(crate) type FakeResponse = Response<FakeBody>;
/// Boxed future of a request handler.
pub(crate) type FakeFuture = Pin<Box<dyn Future<Output = FakeResponse> + Send>>;

/// Serves HTTP/1 requests on `address` in a background task and returns the bound address.
/// Port 0 picks a free port.
pub(crate) async fn serve<Handler>(
    address: SocketAddr,
    handler: Handler,
) -> std::io::Result<SocketAddr>
where
    Handler: Fn(Request<Incoming>) -> FakeFuture + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let local_address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            drop(stream.set_nodelay(true));
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                drop(connection.await);
            });
        }
    });
    Ok(local_address)
}

/// Body that is sent as a single frame.
pub(crate) fn full_body(text: impl Into<Bytes>) -> FakeBody {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Response with status 200 and `value` as JSON, or with status 500 if it cannot be serialized.
pub(crate) fn json_response<Value>(value: &Value) -> FakeResponse
where
    Value: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(text) => status_response(StatusCode::OK, text),
        Err(error) => status_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Response with the given status and JSON text.
pub(crate) fn status_response(status: StatusCode, text: impl Into<Bytes>) -> FakeResponse {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Response whose body fails at once, which closes the connection: the caller gets no reply.
pub(crate) fn aborted_response() -> FakeResponse {
    let error = std::io::Error::other("connection closed by an injected fault");
    let frames = futures::stream::iter([Err::<Frame<Bytes>, _>(error)]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads and parses a JSON body; the error is a response with status 400.
pub(crate) async fn read_json<Value>(request: Request<Incoming>) -> Result<Value, FakeResponse>
where
    Value: for<'a> serde::Deserialize<'a>,
{
    let body = read_bytes(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| status_response(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Reads the whole body; the error is a response with status 400.
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, FakeResponse> {
    match request.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(status_response(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// Number of executions of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunCount {
    /// Identity of the request: method, URI and body for a plain service, the messages as JSON for
    /// an engine.
    pub order: String,
    /// Number of executions.
    pub runs: u32,
}

/// Consumes one pending fault from the counter; returns whether there was one.
pub(crate) fn take_one(count: &mut u32) -> bool {
    let is_pending = *count > 0;
    *count = count.saturating_sub(1);
    is_pending
}
