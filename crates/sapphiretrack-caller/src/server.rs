//! Reads callers' requests and answers them; an invalid request gets a typed refusal.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Version, header};
use hyper::body::Incoming;
use sapphiretrack_clients::{
    BodyError, ClientMemory, HeldMemory, RequestInProgress, discard_body, read_body,
};
use sapphiretrack_core::{Contract, Refusal, RefusalCode};
use tokio::time::timeout;

use crate::answer::{Answer, AnswerBody, BufferedAnswer, EntryReply, respond};
use crate::headers::{
    CHAT_HEADER, CLASS_HEADER, IDEMPOTENCY_HEADER, WARM_HEADER, WORKSPACE_HEADER, ZONE_HEADER,
};
use crate::parse::{parse_chat, parse_service_call, text_header};
use crate::request::{CallerRequest, RequestGuard, Target};

/// The path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The path prefix of calls to plain services.
const SERVICES_PATH: &str = "/v1/services/";
/// What a request takes beside its body while it runs.
const REQUEST_BYTES: usize = 64 * 1024;
/// The retry delay of a request for which there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 1_000;
/// The HTTP methods that are allowed for plain services.
const SERVICE_METHODS: [Method; 5] = [
    Method::DELETE,
    Method::GET,
    Method::PATCH,
    Method::POST,
    Method::PUT,
];

/// Finds the contract that lists a caller key.
pub type Authenticate = Arc<dyn Fn(&str) -> Result<Arc<Contract>, Refusal> + Send + Sync>;
/// Answers a lookup of routers for a caller's availability zone, if it named one.
pub type EntryLookup = Arc<dyn Fn(Option<&str>) -> EntryReply + Send + Sync>;
/// Runs a request.
pub type RunRequest = Arc<dyn Fn(CallerRequest) -> BoxFuture<'static, Answer> + Send + Sync>;

/// The functions of the daemon that the endpoint calls.
#[derive(Clone)]
pub struct CallerHandlers {
    /// Finds the contract that lists a caller key, or the reason to refuse the request.
    pub authenticate: Authenticate,
    /// Lists the routers that a caller should connect to.
    pub entry: EntryLookup,
    /// Whether the router is in a planned stop. Answers then close their connections, so that no
    /// caller reuses one that is about to close.
    pub is_stopping: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Counts a request as in flight from the moment its headers were read.
    pub track_request: Arc<dyn Fn() -> RequestGuard + Send + Sync>,
    /// Runs a request.
    pub run: RunRequest,
    /// Called for each refusal that the endpoint decides itself.
    pub on_refusal: Arc<dyn Fn(&Refusal) + Send + Sync>,
}

/// The service behind every connection.
pub(crate) struct CallerService {
    /// The functions of the daemon.
    pub(crate) handlers: CallerHandlers,
    /// The largest request body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// The memory that clients may make the process hold.
    pub(crate) memory: Arc<ClientMemory>,
}

impl CallerService {
    /// Answers one request.
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        progress: &mut RequestInProgress,
    ) -> Response<AnswerBody> {
        let handlers = &self.handlers;
        let (parts, mut body) = request.into_parts();
        let guard = (handlers.track_request)();
        let answer = match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/v1/entry") => answer_entry(handlers, &parts.headers),
            ("GET", "/healthz") => Ok(json_answer(String::from("{\"ok\":true}"))),
            _ => match self.read_request(&parts, &mut body, &guard).await {
                Ok(request) => {
                    progress.record_running();
                    Ok((handlers.run)(request).await)
                }
                Err(refusal) => {
                    discard_body(body, parts.headers.contains_key(header::EXPECT));
                    Err(refusal)
                }
            },
        };
        let answer = answer.unwrap_or_else(|refusal| {
            (handlers.on_refusal)(&refusal);
            Answer::Refused(refusal)
        });
        let mut response = respond(answer, guard);
        // Otherwise the connection could be closed while its next request is being sent.
        if (handlers.is_stopping)() && parts.version <= Version::HTTP_11 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn read_request(
        &self,
        parts: &http::request::Parts,
        body: &mut Incoming,
        guard: &RequestGuard,
    ) -> Result<CallerRequest, Refusal> {
        let headers = &parts.headers;
        let path = parts.uri.path();
        let is_service_method = SERVICE_METHODS.contains(&parts.method);
        let service = path
            .strip_prefix(SERVICES_PATH)
            .filter(|_| is_service_method);
        let is_chat = parts.method == Method::POST && path == CHAT_PATH;
        if service.is_none() && !is_chat {
            let message = format!("there is no {} {path}", parts.method);
            return Err(Refusal::not_run(RefusalCode::UnknownPath, message));
        }
        let contract = authenticate(&self.handlers, headers)?;
        let (class, policy) = request_class(&contract, headers)?;
        let (body, memory) = self.read_body(body, policy.deadline_ms).await?;
        let target = match service {
            Some(rest) => Target::Service(parse_service_call(
                &parts.method,
                rest,
                parts.uri.query(),
                headers,
                body,
            )?),
            None => Target::Chat(parse_chat(&body)?),
        };
        let header_text = |name| text_header(headers, name).map(|value| value.map(str::to_owned));
        let request = CallerRequest {
            workspace: header_text(WORKSPACE_HEADER)?.unwrap_or_default(),
            chat: header_text(CHAT_HEADER)?,
            warm: header_text(WARM_HEADER)?,
            idempotency_key: header_text(IDEMPOTENCY_HEADER)?,
            class,
            policy,
            contract,
            target,
            guard: RequestGuard::new((guard.clone(), memory)),
        };
        if !request.contract.pools.contains(request.pool()) {
            let message = format!("the contract has no model or service {:?}", request.pool());
            return Err(Refusal::not_run(RefusalCode::UnknownModel, message));
        }
        Ok(request)
    }

    /// Reads a body within the deadline of its request, and reserves the memory for both.
    async fn read_body(
        &self,
        body: &mut Incoming,
        deadline_ms: u64,
    ) -> Result<(Bytes, [Option<HeldMemory>; 2]), Refusal> {
        let read = async {
            let read = read_body(&self.memory, body, self.max_body_bytes).await;
            let (body, body_memory) = read?;
            let request_memory = self.memory.hold_request(REQUEST_BYTES).await;
            let request_memory = request_memory.ok_or(BodyError::NoMemory)?;
            Ok((body, [Some(request_memory), body_memory]))
        };
        let read = timeout(Duration::from_millis(deadline_ms), read).await;
        let read = read.map_err(|_| {
            let message = "the body did not arrive within the deadline";
            Refusal::not_run(RefusalCode::DeadlinePassed, message)
        })?;
        read.map_err(|error: BodyError| body_refusal(&error))
    }
}

fn answer_entry(handlers: &CallerHandlers, headers: &HeaderMap) -> Result<Answer, Refusal> {
    let reply = (handlers.entry)(text_header(headers, ZONE_HEADER)?);
    Ok(json_answer(
        serde_json::to_string(&reply).unwrap_or_default(),
    ))
}

fn json_answer(body: String) -> Answer {
    Answer::Buffered(BufferedAnswer {
        status: 200,
        content_type: String::from("application/json"),
        body: body.into(),
        warm: None,
    })
}

/// The refusal of a request whose body was not read to its end.
fn body_refusal(error: &BodyError) -> Refusal {
    let message = error.to_string();
    match error {
        BodyError::TooLarge { .. } => Refusal::not_run(RefusalCode::BodyTooLarge, message),
        BodyError::BrokeOff => Refusal::not_run(RefusalCode::MalformedBody, message),
        BodyError::NoMemory => {
            Refusal::not_run(RefusalCode::Overloaded, message).retry_after(NO_MEMORY_RETRY_MS)
        }
    }
}

fn authenticate(handlers: &CallerHandlers, headers: &HeaderMap) -> Result<Arc<Contract>, Refusal> {
    let value = text_header(headers, header::AUTHORIZATION.as_str())?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        let message = "there is no key";
        return Err(Refusal::not_run(RefusalCode::BadKey, message));
    };
    (handlers.authenticate)(key)
}

fn request_class(
    contract: &Contract,
    headers: &HeaderMap,
) -> Result<(String, sapphiretrack_core::ClassPolicy), Refusal> {
    let name = text_header(headers, CLASS_HEADER)?;
    let Some((name, policy)) = contract.class(name) else {
        let message = format!("the contract has no class {:?}", name.unwrap_or_default());
        return Err(Refusal::not_run(RefusalCode::UnknownClass, message));
    };
    Ok((name.to_owned(), policy.clone()))
}
