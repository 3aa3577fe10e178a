//! The callers' endpoint, on dropshot.
//!
//! One wildcard endpoint a method, not one a path: only so does a request for an unknown path
//! get the same typed refusal, with its outcome header, as any other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, ConfigTls, HandlerTaskMode, HttpError, HttpServer, Path,
    RawRequest, RequestContext, ServerBuilder, endpoint,
};
use futures::future::BoxFuture;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use sapphiretrack_core::{Contract, Refusal, RefusalCode};
use schemars::JsonSchema;
use serde::Deserialize;
use snafu::Snafu;

use crate::answer::{Answer, EntryReply, WholeAnswer, respond};
use crate::parse::{chat_call, header, service_call};
use crate::request::{CallerRequest, RequestToken, Target};

/// Tells the caller what is known about the run of its request.
pub const OUTCOME_HEADER: &str = "sapphiretrack-outcome";
/// Tells where a chat is warm; the caller sends it back with the chat's next request.
pub const WARM_HEADER: &str = "sapphiretrack-warm";
/// Names the workspace.
pub const WORKSPACE_HEADER: &str = "sapphiretrack-workspace";
/// Names the chat.
pub const CHAT_HEADER: &str = "sapphiretrack-chat";
/// Names the class.
pub const CLASS_HEADER: &str = "sapphiretrack-class";
/// Names the caller's availability zone in a lookup.
pub const ZONE_HEADER: &str = "sapphiretrack-zone";
/// The key of a non-idempotent request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Finds the contract that lists a key.
pub type Authenticate = Arc<dyn Fn(&str) -> Result<Arc<Contract>, Refusal> + Send + Sync>;
/// Answers a lookup from an availability zone.
pub type LookUp = Arc<dyn Fn(Option<&str>) -> EntryReply + Send + Sync>;
/// Runs a request.
pub type Run = Arc<dyn Fn(CallerRequest) -> BoxFuture<'static, Answer> + Send + Sync>;

/// What the daemon does for callers.
#[derive(Clone)]
pub struct CallerHandlers {
    /// The contract that lists a key, or why there is none.
    pub authenticate: Authenticate,
    /// Which routers a caller of an availability zone connects to.
    pub entry: LookUp,
    /// Counts a request as in flight from its first byte on.
    pub begin: Arc<dyn Fn() -> RequestToken + Send + Sync>,
    /// Runs a request.
    pub run: Run,
    /// Whether the router is on a planned stop: answers then end their connections, so that no
    /// caller keeps one that is about to close.
    pub stopping: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Told of each refusal that was decided here.
    pub refused: Arc<dyn Fn(&Refusal) + Send + Sync>,
}

/// Why the endpoint did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address, or the certificate, cannot be used.
    #[snafu(display("the callers' endpoint cannot start on {address}: {reason}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the library said.
        reason: String,
    },
}

/// Starts the endpoint.
pub fn start(
    address: SocketAddr,
    max_body_bytes: usize,
    tls: Option<(PathBuf, PathBuf)>,
    handlers: CallerHandlers,
) -> Result<HttpServer<CallerHandlers>, StartError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let tls = tls.map(|(cert_file, key_file)| ConfigTls::AsFile {
        cert_file,
        key_file,
    });
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let failed = |reason: String| BindSnafu { address, reason }.build();
    let api = describe().map_err(failed)?;
    ServerBuilder::new(api, handlers, log)
        .config(config)
        .tls(tls)
        .start()
        .map_err(|error| failed(error.to_string()))
}

fn describe() -> Result<ApiDescription<CallerHandlers>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(get_any)
        .and_then(|()| api.register(post_any))
        .and_then(|()| api.register(put_any))
        .and_then(|()| api.register(patch_any))
        .and_then(|()| api.register(delete_any));
    registered.map_err(|error| error.to_string())?;
    Ok(api)
}

/// The whole path.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    /// Its parts.
    #[serde(rename = "path")]
    _parts: Vec<String>,
}

type Reply = Result<Response<Body>, HttpError>;

#[endpoint { method = GET, path = "/{path:.*}", unpublished = true }]
async fn get_any(
    context: RequestContext<CallerHandlers>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Reply {
    serve(&context, request).await
}

#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn post_any(
    context: RequestContext<CallerHandlers>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Reply {
    serve(&context, request).await
}

#[endpoint { method = PUT, path = "/{path:.*}", unpublished = true }]
async fn put_any(
    context: RequestContext<CallerHandlers>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Reply {
    serve(&context, request).await
}

#[endpoint { method = PATCH, path = "/{path:.*}", unpublished = true }]
async fn patch_any(
    context: RequestContext<CallerHandlers>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Reply {
    serve(&context, request).await
}

#[endpoint { method = DELETE, path = "/{path:.*}", unpublished = true }]
async fn delete_any(
    context: RequestContext<CallerHandlers>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Reply {
    serve(&context, request).await
}

async fn serve(context: &RequestContext<CallerHandlers>, request: RawRequest) -> Reply {
    let handlers = context.context();
    let (parts, body) = request.into_inner().into_parts();
    let token = (handlers.begin)();
    let answer = match (parts.method.as_str(), parts.uri.path()) {
        ("GET", "/v1/entry") => entry(handlers, &parts.headers),
        ("GET", "/healthz") => Ok(whole_json(String::from("{\"ok\":true}"))),
        _ => {
            let max_body_bytes = context.server.config.default_request_body_max_bytes;
            match read_request(handlers, &parts, body, max_body_bytes, &token).await {
                Ok(request) => Ok((handlers.run)(request).await),
                Err(refusal) => Err(refusal),
            }
        }
    };
    let answer = answer.unwrap_or_else(|refusal| {
        (handlers.refused)(&refusal);
        Answer::Refused(refusal)
    });
    let mut response = respond(answer, token)?;
    if (handlers.stopping)() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

fn entry(handlers: &CallerHandlers, headers: &HeaderMap) -> Result<Answer, Refusal> {
    let reply = (handlers.entry)(header(headers, ZONE_HEADER)?);
    Ok(whole_json(
        serde_json::to_string(&reply).unwrap_or_default(),
    ))
}

fn whole_json(body: String) -> Answer {
    Answer::Whole(WholeAnswer {
        status: 200,
        content_type: String::from("application/json"),
        body: body.into(),
        warm: None,
    })
}

async fn read_request(
    handlers: &CallerHandlers,
    parts: &http::request::Parts,
    body: Body,
    max_body_bytes: usize,
    token: &RequestToken,
) -> Result<CallerRequest, Refusal> {
    let headers = &parts.headers;
    let path = parts.uri.path();
    let service = path.strip_prefix("/v1/services/");
    let is_chat = parts.method == http::Method::POST && path == "/v1/chat/completions";
    if service.is_none() && !is_chat {
        let message = format!("there is no {} {path}", parts.method);
        return Err(Refusal::not_run(RefusalCode::UnknownPath, message));
    }
    let contract = authenticate(handlers, headers)?;
    let body = read_body(body, max_body_bytes).await?;
    let target = match service {
        Some(rest) => Target::Service(service_call(
            &parts.method,
            rest,
            parts.uri.query(),
            headers,
            body,
        )?),
        None => Target::Chat(chat_call(&body)?),
    };
    let (class, policy) = class_of(&contract, headers)?;
    let text = |name| header(headers, name).map(|value| value.map(str::to_owned));
    let request = CallerRequest {
        workspace: text(WORKSPACE_HEADER)?.unwrap_or_default(),
        chat: text(CHAT_HEADER)?,
        warm: text(WARM_HEADER)?,
        idempotency_key: text(IDEMPOTENCY_HEADER)?,
        class,
        policy,
        contract,
        target,
        token: token.clone(),
    };
    if !request.contract.pools.contains(request.pool()) {
        let message = format!("the contract has no model or service {:?}", request.pool());
        return Err(Refusal::not_run(RefusalCode::UnknownModel, message));
    }
    Ok(request)
}

async fn read_body(body: Body, max_body_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_body_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {max_body_bytes} bytes");
            Err(Refusal::not_run(RefusalCode::BodyTooLarge, message))
        }
        Err(error) => {
            let message = format!("the body broke off: {error}");
            Err(Refusal::not_run(RefusalCode::MalformedBody, message))
        }
    }
}

fn authenticate(handlers: &CallerHandlers, headers: &HeaderMap) -> Result<Arc<Contract>, Refusal> {
    let value = header(headers, http::header::AUTHORIZATION.as_str())?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        let message = "there is no key";
        return Err(Refusal::not_run(RefusalCode::BadKey, message));
    };
    (handlers.authenticate)(key)
}

fn class_of(
    contract: &Contract,
    headers: &HeaderMap,
) -> Result<(String, sapphiretrack_core::ClassPolicy), Refusal> {
    let name = header(headers, CLASS_HEADER)?;
    let Some((name, policy)) = contract.class(name) else {
        let message = format!("the contract has no class {:?}", name.unwrap_or_default());
        return Err(Refusal::not_run(RefusalCode::UnknownClass, message));
    };
    Ok((name.to_owned(), policy.clone()))
}
