//! The HTTP plumbing of all stand-ins.

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

/// An error in a body makes the server cut the connection.
pub(crate) type FakeBody = BoxBody<Bytes, std::io::Error>;
/// What a stand-in answers.
pub(crate) type FakeResponse = Response<FakeBody>;
/// A stand-in's answer to come.
pub(crate) type FakeFuture = Pin<Box<dyn Future<Output = FakeResponse> + Send>>;

/// Serves a stand-in on an address; port 0 takes a free one.
pub(crate) async fn serve<Handler>(
    address: SocketAddr,
    handler: Handler,
) -> std::io::Result<SocketAddr>
where
    Handler: Fn(Request<Incoming>) -> FakeFuture + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            drop(stream.set_nodelay(true));
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                drop(connection.await);
            });
        }
    });
    Ok(bound)
}

/// A whole body.
pub(crate) fn full(text: impl Into<Bytes>) -> FakeBody {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A JSON answer.
pub(crate) fn json<Value>(value: &Value) -> FakeResponse
where
    Value: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(text) => with_status(StatusCode::OK, text),
        Err(error) => with_status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with a status and a body.
pub(crate) fn with_status(status: StatusCode, text: impl Into<Bytes>) -> FakeResponse {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

/// An answer whose connection is cut before its body comes: a lost reply.
pub(crate) fn cut() -> FakeResponse {
    let error = std::io::Error::other("cut by the stand-in");
    let frames = futures::stream::iter([Err::<Frame<Bytes>, _>(error)]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads a body of JSON.
pub(crate) async fn read_json<Value>(request: Request<Incoming>) -> Result<Value, FakeResponse>
where
    Value: for<'a> serde::Deserialize<'a>,
{
    let body = read_bytes(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| with_status(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Reads a body.
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, FakeResponse> {
    match request.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(with_status(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// How often one order ran.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunCount {
    /// The order: method, path and body.
    pub order: String,
    /// How often it ran.
    pub runs: u32,
}

/// Takes one from a count of faults to come; false if there is none.
pub(crate) fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
