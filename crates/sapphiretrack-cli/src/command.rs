//! The command line, read and checked.

use std::path::{Path, PathBuf};

use pico_args::Arguments;
use sapphiretrack_operator::wire::{SetFencing, SetGoal};
use sapphiretrack_tls::Trust;
use snafu::ResultExt;

use crate::error::{ArgumentsSnafu, CliError, TrustSnafu, UsageSnafu};

/// What every command may need.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Operators' address of a router.
    pub(crate) router: String,
    /// The operators' key.
    pub(crate) operator_key: String,
    /// Who the operator is.
    pub(crate) operator: String,
    /// Callers' address of a router.
    pub(crate) caller_url: String,
    /// A key of a contract.
    pub(crate) caller_key: String,
    /// Which certificates are trusted.
    pub(crate) trust: Trust,
    /// How long `--wait` waits.
    pub(crate) wait_limit_ms: u64,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

/// What to do.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    ContractApply(ContractApply),
    ContractShow(ContractShow),
    ContractHistory,
    ChangeShow { change_id: String },
    RouterList,
    RouterStop { name: String },
    ServerList,
    ServerDrain(ServerDrain),
    Status(StatusWanted),
    Entry { zone: Option<String> },
    Chat(Chat),
    Explain(Explain),
    ServerSet(SetGoal),
    PoolFencing(SetFencing),
}

/// Applies a contract file.
#[derive(Clone, Debug)]
pub(crate) struct ContractApply {
    /// The TOML file.
    pub(crate) file: PathBuf,
    /// The version at which the operator saw the contract; none for the current one.
    pub(crate) seen_version: Option<u64>,
    /// Whether to wait until it is in force on every router.
    pub(crate) wait: bool,
}

/// Shows a contract.
#[derive(Clone, Debug)]
pub(crate) struct ContractShow {
    pub(crate) customer: String,
    /// As it stood at this version; none for now.
    pub(crate) version: Option<u64>,
}

/// Drains a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerDrain {
    /// The server.
    pub(crate) server: String,
    /// Whether to end the drain instead.
    pub(crate) undo: bool,
    /// Whether to wait until no router has a request in flight there.
    pub(crate) wait: bool,
    /// Whether to order it to stop once it is empty.
    pub(crate) stop: bool,
}

/// Shows the status of the fleet as one router sees it.
#[derive(Clone, Debug)]
pub(crate) struct StatusWanted {
    /// Whether to wait until the router answers and sees as many live VMs as wanted.
    pub(crate) wait: bool,
    /// Live routers to wait for.
    pub(crate) routers: usize,
    /// Live backend servers to wait for.
    pub(crate) servers: usize,
}

/// Sends one chat.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    pub(crate) model: String,
    pub(crate) workspace: Option<String>,
    pub(crate) chat: Option<String>,
    pub(crate) class: Option<String>,
    pub(crate) text: String,
}

/// Tells the story of one request from logs.
#[derive(Clone, Debug)]
pub(crate) struct Explain {
    /// The request's id.
    pub(crate) id: String,
    /// Logs of routers; standard input if there are none.
    pub(crate) files: Vec<PathBuf>,
}

/// Reads the command line.
pub(crate) fn parse_command(mut arguments: Arguments) -> Result<(Command, Options), CliError> {
    let options = parse_options(&mut arguments)?;
    let noun = arguments
        .subcommand()
        .context(ArgumentsSnafu)?
        .unwrap_or_default();
    let command = match noun.as_str() {
        "contract" => contract(&mut arguments)?,
        "change" => match verb(&mut arguments)?.as_str() {
            "show" => Command::ChangeShow {
                change_id: free(&mut arguments, "CHANGE-ID")?,
            },
            other => return unknown("change", other),
        },
        "router" => match verb(&mut arguments)?.as_str() {
            "list" => Command::RouterList,
            "stop" => Command::RouterStop {
                name: free(&mut arguments, "NAME")?,
            },
            other => return unknown("router", other),
        },
        "server" => match verb(&mut arguments)?.as_str() {
            "list" => Command::ServerList,
            "drain" => Command::ServerDrain(ServerDrain {
                undo: arguments.contains("--undo"),
                wait: arguments.contains("--wait"),
                stop: arguments.contains("--stop"),
                server: free(&mut arguments, "NAME")?,
            }),
            "set" => Command::ServerSet(server_set(&mut arguments)?),
            other => return unknown("server", other),
        },
        "pool" => match verb(&mut arguments)?.as_str() {
            "fencing" => Command::PoolFencing(pool_fencing(&mut arguments)?),
            other => return unknown("pool", other),
        },
        "status" => Command::Status(status(&mut arguments)?),
        "entry" => Command::Entry {
            zone: option(&mut arguments, "--zone")?,
        },
        "chat" => Command::Chat(Chat {
            model: arguments
                .value_from_str("--model")
                .context(ArgumentsSnafu)?,
            workspace: option(&mut arguments, "--workspace")?,
            chat: option(&mut arguments, "--chat")?,
            class: option(&mut arguments, "--class")?,
            text: free(&mut arguments, "TEXT")?,
        }),
        "explain" => {
            let id = free(&mut arguments, "ID")?;
            let files = arguments.finish().into_iter().map(PathBuf::from).collect();
            return Ok((Command::Explain(Explain { id, files }), options));
        }
        other => return unknown("sapphiretrack", other),
    };
    match arguments.finish().first() {
        None => Ok((command, options)),
        Some(argument) => {
            let problem = format!("unknown argument {argument:?}");
            UsageSnafu { problem }.fail()
        }
    }
}

fn status(arguments: &mut Arguments) -> Result<StatusWanted, CliError> {
    let routers: Option<usize> = arguments
        .opt_value_from_str("--routers")
        .context(ArgumentsSnafu)?;
    let servers: Option<usize> = arguments
        .opt_value_from_str("--servers")
        .context(ArgumentsSnafu)?;
    let wait = arguments.contains("--wait");
    if !wait && (routers.is_some() || servers.is_some()) {
        let problem = "--routers and --servers go with --wait";
        return UsageSnafu { problem }.fail();
    }
    Ok(StatusWanted {
        wait,
        routers: routers.unwrap_or(1),
        servers: servers.unwrap_or(0),
    })
}

fn server_set(arguments: &mut Arguments) -> Result<SetGoal, CliError> {
    let adapters = option(arguments, "--adapters")?;
    Ok(SetGoal {
        model: option(arguments, "--model")?,
        version: option(arguments, "--model-version")?,
        adapters: adapters.map(|names| {
            let names = names.split(',').filter(|name| !name.is_empty());
            names.map(str::to_owned).collect()
        }),
        role: option(arguments, "--role")?,
        stopped: arguments.contains("--stopped"),
        server: free(arguments, "NAME")?,
    })
}

fn pool_fencing(arguments: &mut Arguments) -> Result<SetFencing, CliError> {
    let checks = arguments.contains("--checks");
    let ignores = arguments.contains("--ignores");
    if checks == ignores {
        let problem = "one of --checks and --ignores is needed";
        return UsageSnafu { problem }.fail();
    }
    Ok(SetFencing {
        pool: free(arguments, "POOL")?,
        checks,
    })
}

fn contract(arguments: &mut Arguments) -> Result<Command, CliError> {
    match verb(arguments)?.as_str() {
        "apply" => {
            let new = arguments.contains("--new");
            let seen: Option<u64> = arguments
                .opt_value_from_str("--seen")
                .context(ArgumentsSnafu)?;
            Ok(Command::ContractApply(ContractApply {
                seen_version: if new { Some(0) } else { seen },
                wait: arguments.contains("--wait"),
                file: PathBuf::from(free(arguments, "FILE")?),
            }))
        }
        "show" => Ok(Command::ContractShow(ContractShow {
            version: arguments
                .opt_value_from_str("--version")
                .context(ArgumentsSnafu)?,
            customer: free(arguments, "CUSTOMER")?,
        })),
        "history" => Ok(Command::ContractHistory),
        other => unknown("contract", other),
    }
}

fn parse_options(arguments: &mut Arguments) -> Result<Options, CliError> {
    let wait_limit_ms: Option<u64> = arguments
        .opt_value_from_str("--wait-limit-ms")
        .context(ArgumentsSnafu)?;
    let trust = match setting(arguments, "--tls-ca", "")?.as_str() {
        "" => Trust::default(),
        file => Trust::from_pem_file(Path::new(file)).context(TrustSnafu)?,
    };
    Ok(Options {
        trust,
        router: setting(arguments, "--router", "http://127.0.0.1:8081")?,
        operator_key: setting(arguments, "--operator-key", "")?,
        operator: setting(arguments, "--operator", "operator")?,
        caller_url: setting(arguments, "--caller-url", "http://127.0.0.1:8080")?,
        caller_key: setting(arguments, "--caller-key", "")?,
        wait_limit_ms: wait_limit_ms.unwrap_or(30_000),
        json: arguments.contains("--json"),
    })
}

/// The URL of an address that is served the same way, plain or by TLS, as another URL.
pub(crate) fn like(url: &str, address: &str) -> String {
    let scheme = if url.starts_with("https://") {
        "https"
    } else {
        "http"
    };
    format!("{scheme}://{address}")
}

/// A flag, else its environment variable, else the default.
fn setting(
    arguments: &mut Arguments,
    flag: &'static str,
    default: &str,
) -> Result<String, CliError> {
    let variable = format!(
        "SAPPHIRETRACK_{}",
        flag.trim_start_matches('-')
            .replace('-', "_")
            .to_uppercase()
    );
    let value = option(arguments, flag)?.or_else(|| std::env::var(variable).ok());
    Ok(value.unwrap_or_else(|| default.to_owned()))
}

fn option(arguments: &mut Arguments, flag: &'static str) -> Result<Option<String>, CliError> {
    arguments.opt_value_from_str(flag).context(ArgumentsSnafu)
}

fn verb(arguments: &mut Arguments) -> Result<String, CliError> {
    Ok(arguments
        .subcommand()
        .context(ArgumentsSnafu)?
        .unwrap_or_default())
}

fn free(arguments: &mut Arguments, name: &str) -> Result<String, CliError> {
    let value: Option<String> = arguments.opt_free_from_str().context(ArgumentsSnafu)?;
    match value {
        Some(value) => Ok(value),
        None => UsageSnafu {
            problem: format!("{name} is missing"),
        }
        .fail(),
    }
}

fn unknown<T>(noun: &str, word: &str) -> Result<T, CliError> {
    let problem = match word {
        "" => format!("{noun}: a command is missing"),
        word => format!("{noun}: there is no command {word:?}"),
    };
    UsageSnafu { problem }.fail()
}
