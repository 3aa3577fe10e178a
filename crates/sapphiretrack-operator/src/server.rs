//! The operators' endpoint, built on dropshot.

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
    ApplyContract, ChangeReply, ContractQuery, ContractReply, DrainServer, GoalReply, HistoryLine,
    SetFencing, SetGoal, Status, StopReply,
};

/// The largest request body of an operator, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Handles a call of an operator.
pub type Handler<Request, Reply> = Arc<dyn Fn(Request) -> BoxFuture<'static, Reply> + Send + Sync>;

/// The functions of the daemon that the endpoint calls; an error is a message for the operator.
#[derive(Clone)]
pub struct OperatorHandlers {
    /// Checks the operators' key.
    pub authenticate: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    /// Applies a contract.
    pub apply: Handler<ApplyContract, ChangeReply>,
    /// Starts or ends a drain.
    pub drain: Handler<DrainServer, ChangeReply>,
    /// Finds the outcome of a change by its id.
    pub outcome_of: Handler<String, ChangeReply>,
    /// Reads a customer's contract; `None` if there is none.
    pub show: Handler<ContractQuery, Result<Option<ContractReply>, String>>,
    /// Lists all changes.
    pub history: Handler<(), Result<Vec<HistoryLine>, String>>,
    /// Reads the status of the fleet as this router sees it.
    pub status: Arc<dyn Fn() -> Status + Send + Sync>,
    /// Starts the planned stop of this router.
    pub stop: Arc<dyn Fn() -> StopReply + Send + Sync>,
    /// Renders the metrics in the OpenMetrics text format.
    pub metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Sets the desired state of a backend server.
    pub set_goal: Handler<SetGoal, GoalReply>,
    /// Sets whether a pool's engines check fencing numbers.
    pub set_fencing: Handler<SetFencing, GoalReply>,
}

/// Why the endpoint failed to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(display("the operators' endpoint cannot start on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A handler cannot be registered.
    #[snafu(display("a handler of the operators' endpoint cannot be registered: {source}"))]
    Register {
        /// The cause.
        source: ApiDescriptionRegisterError,
    },
    /// The address cannot be bound, or the certificate cannot be used.
    #[snafu(display("the operators' endpoint cannot start on {address}: {reason}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the HTTP library.
        reason: String,
    },
}

/// Starts the library's server. It serves HTTPS if `tls` names the files of a certificate and its key.
pub(crate) fn start(
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
    registered.map_err(|source| StartError::Register { source })?;
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

/// The change id in a path.
#[derive(Deserialize, JsonSchema)]
struct ChangePath {
    change_id: String,
}

/// The customer's name in a path.
#[derive(Deserialize, JsonSchema)]
struct CustomerPath {
    customer: String,
}

/// The configuration version as of which a contract is requested.
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

/// Sets whether a pool's engines check fencing numbers.
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

/// Returns the outcome of a change.
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

/// Returns a contract.
#[endpoint { method = GET, path = "/v1/contracts/{customer}" }]
async fn show(
    context: Context,
    path: Path<CustomerPath>,
    query: Query<VersionQuery>,
) -> Result<HttpResponseOk<ContractReply>, HttpError> {
    check_key(&context)?;
    let customer = path.into_inner().customer;
    let query = ContractQuery {
        customer: customer.clone(),
        version: query.into_inner().version,
    };
    match (context.context().show)(query).await {
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

/// Returns the status of the fleet as this router sees it.
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

/// Returns the metrics; they require no key, so that a collector can read them.
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
