//! HTTP calls for tests, which panic unless the server answers with success.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Posts JSON.
///
/// # Panics
///
/// If the server does not answer with a success status.
pub async fn post_json<Body>(url: &str, body: &Body)
where
    Body: Serialize,
{
    let text = serde_json::to_vec(body).expect("the body can be written as JSON");
    call(http::Request::post(url), url, text).await;
}

/// Gets JSON.
///
/// # Panics
///
/// If the server does not answer with a success status and JSON of this type.
pub async fn get_json<Body>(url: &str) -> Body
where
    Body: DeserializeOwned,
{
    serde_json::from_str(&get_text(url).await).expect("the answer is JSON of the expected type")
}

/// Gets a text.
///
/// # Panics
///
/// If the server does not answer with a success status.
pub async fn get_text(url: &str) -> String {
    call(http::Request::get(url), url, Vec::new()).await
}

async fn call(request: http::request::Builder, url: &str, body: Vec<u8>) -> String {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = request.body(Full::new(Bytes::from(body)));
    let request = request.expect("the request is valid");
    let response = client.request(request).await.expect("the server answers");
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.expect("the answer is complete").to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    assert!(status.is_success(), "{url}: {status}: {text}");
    text
}
