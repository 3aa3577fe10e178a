//! The operators' endpoint, on dropshot.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ConfigDropshot, ConfigTls, HttpError,
    HttpResponseOk, HttpServer, Path, Query, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use futures::future::BoxFuture;
use schemars::JsonSchema;
use serde::Deserialize;
use snafu::Snafu;

use crate::wire::{
    ApplyContract, ChangeReply, DrainServer, GoalReply, HistoryLine, SetFencing, SetGoal,
    ShowContract, ShownContract, Status, StopReply,
};

/// The largest body that operators may send.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Answers a call of an operator.
pub type Handler<Request, Reply> = Arc<dyn Fn(Request) -> BoxFuture<'static, Reply> + Send + Sync>;

/// What the daemon does for operators; an error is a text for the operator.
#[derive(Clone)]
pub struct OperatorHandlers {
    /// Whether a key is an operator's.
    pub authenticate: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    /// Applies a contract.
    pub apply: Handler<ApplyContract, ChangeReply>,
    /// Starts or ends a drain.
    pub drain: Handler<DrainServer, ChangeReply>,
    /// What came of the change of an id.
    pub outcome_of: Handler<String, ChangeReply>,
    /// A customer's contract.
    pub show: Handler<ShowContract, Result<Option<ShownContract>, String>>,
    /// All changes.
    pub history: Handler<(), Result<Vec<HistoryLine>, String>>,
    /// The router's view.
    pub status: Arc<dyn Fn() -> Status + Send + Sync>,
    /// Starts the planned stop of this router.
    pub stop: Arc<dyn Fn() -> StopReply + Send + Sync>,
    /// The metrics as text.
    pub metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Sets the desired state of a backend server.
    pub set_goal: Handler<SetGoal, GoalReply>,
    /// Says whether a pool's engines check fencing numbers.
    pub set_fencing: Handler<SetFencing, GoalReply>,
}

/// Why the endpoint did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A path cannot be served.
    #[snafu(display("the operators' interface is ill-described: {source}"))]
    Describe {
        /// Why.
        source: ApiDescriptionRegisterError,
    },
    /// The address, or the certificate, cannot be used.
    #[snafu(display("the operators' endpoint cannot start on {address}: {reason}"))]
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
    tls: Option<(PathBuf, PathBuf)>,
    handlers: OperatorHandlers,
) -> Result<HttpServer<OperatorHandlers>, StartError> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(apply)
        .and_then(|()| api.register(drain))
        .and_then(|()| api.register(outcome_of))
        .and_then(|()| api.register(show))
        .and_then(|()| api.register(history))
        .and_then(|()| api.register(status))
        .and_then(|()| api.register(stop))
        .and_then(|()| api.register(metrics))
        .and_then(|()| api.register(set_goal))
        .and_then(|()| api.register(set_fencing));
    registered.map_err(|source| StartError::Describe { source })?;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let tls = tls.map(|(cert_file, key_file)| ConfigTls::AsFile {
        cert_file,
        key_file,
    });
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, handlers, log)
        .config(config)
        .tls(tls)
        .start()
        .map_err(|error| {
            BindSnafu {
                address,
                reason: error.to_string(),
            }
            .build()
        })
}

type Context = RequestContext<OperatorHandlers>;

/// A change's id in a path.
#[derive(Deserialize, JsonSchema)]
struct ChangePath {
    change_id: String,
}

/// A customer's name in a path.
#[derive(Deserialize, JsonSchema)]
struct CustomerPath {
    customer: String,
}

/// Which version of a contract is asked for.
#[derive(Deserialize, JsonSchema)]
struct VersionQuery {
    version: Option<u64>,
}

/// Applies a contract.
#[endpoint { method = POST, path = "/v1/contracts" }]
async fn apply(
    context: Context,
    body: TypedBody<ApplyContract>,
) -> Result<HttpResponseOk<ChangeReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk(
        (context.context().apply)(body.into_inner()).await,
    ))
}

/// Starts or ends a drain.
#[endpoint { method = POST, path = "/v1/drains" }]
async fn drain(
    context: Context,
    body: TypedBody<DrainServer>,
) -> Result<HttpResponseOk<ChangeReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk(
        (context.context().drain)(body.into_inner()).await,
    ))
}

/// Sets the desired state of a backend server.
#[endpoint { method = POST, path = "/v1/goals" }]
async fn set_goal(
    context: Context,
    body: TypedBody<SetGoal>,
) -> Result<HttpResponseOk<GoalReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk(
        (context.context().set_goal)(body.into_inner()).await,
    ))
}

/// Says whether a pool's engines check fencing numbers.
#[endpoint { method = POST, path = "/v1/fencing" }]
async fn set_fencing(
    context: Context,
    body: TypedBody<SetFencing>,
) -> Result<HttpResponseOk<GoalReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk(
        (context.context().set_fencing)(body.into_inner()).await,
    ))
}

/// Tells what came of a change.
#[endpoint { method = GET, path = "/v1/changes/{change_id}" }]
async fn outcome_of(
    context: Context,
    path: Path<ChangePath>,
) -> Result<HttpResponseOk<ChangeReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk(
        (context.context().outcome_of)(path.into_inner().change_id).await,
    ))
}

/// Shows a contract.
#[endpoint { method = GET, path = "/v1/contracts/{customer}" }]
async fn show(
    context: Context,
    path: Path<CustomerPath>,
    query: Query<VersionQuery>,
) -> Result<HttpResponseOk<ShownContract>, HttpError> {
    check_key(&context)?;
    let customer = path.into_inner().customer;
    let show = ShowContract {
        customer: customer.clone(),
        version: query.into_inner().version,
    };
    match (context.context().show)(show).await {
        Ok(Some(contract)) => Ok(HttpResponseOk(contract)),
        Ok(None) => {
            let message = format!("there is no contract of customer {customer:?}");
            Err(HttpError::for_client_error(
                Some(String::from("no_contract")),
                dropshot::ClientErrorStatusCode::NOT_FOUND,
                message,
            ))
        }
        Err(reason) => Err(unavailable(reason)),
    }
}

/// Lists all changes.
#[endpoint { method = GET, path = "/v1/history" }]
async fn history(context: Context) -> Result<HttpResponseOk<Vec<HistoryLine>>, HttpError> {
    check_key(&context)?;
    (context.context().history)(())
        .await
        .map(HttpResponseOk)
        .map_err(unavailable)
}

/// Tells the router's view.
#[endpoint { method = GET, path = "/v1/status" }]
async fn status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk((context.context().status)()))
}

/// Starts the planned stop of this router.
#[endpoint { method = POST, path = "/v1/stop" }]
async fn stop(context: Context) -> Result<HttpResponseOk<StopReply>, HttpError> {
    check_key(&context)?;
    Ok(HttpResponseOk((context.context().stop)()))
}

/// Gives the metrics; they need no key, so that a collector can read them.
#[endpoint { method = GET, path = "/metrics", unpublished = true }]
async fn metrics(context: Context) -> Result<http::Response<Body>, HttpError> {
    let body = Body::with_content((context.context().metrics)());
    let response = http::Response::builder()
        .header(
            http::header::CONTENT_TYPE,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        )
        .body(body)?;
    Ok(response)
}

fn check_key(context: &Context) -> Result<(), HttpError> {
    let value = context.request.headers().get(http::header::AUTHORIZATION);
    let key = value.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    if key.is_some_and(|key| (context.context().authenticate)(key)) {
        return Ok(());
    }
    Err(HttpError::for_client_error(
        Some(String::from("bad_key")),
        dropshot::ClientErrorStatusCode::UNAUTHORIZED,
        String::from("the operator key is missing or wrong"),
    ))
}

fn unavailable(reason: String) -> HttpError {
    HttpError::for_unavail(Some(String::from("platform_unavailable")), reason)
}
