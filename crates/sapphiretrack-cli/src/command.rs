//! Parses and checks the command line.

use std::path::{Path, PathBuf};

use pico_args::Arguments;
use sapphiretrack_operator::wire::{SetFencing, SetGoal};
use sapphiretrack_tls::Trust;
use snafu::ResultExt;

use crate::error::{ArgumentsSnafu, CliError, TrustSnafu, UsageSnafu};

/// Options of all commands.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// The URL of a router's operator interface.
    pub(crate) router: String,
    /// The operators' key.
    pub(crate) operator_key: String,
    /// The name of the operator, for the history of changes.
    pub(crate) operator: String,
    /// The URL of a router's caller interface.
    pub(crate) caller_url: String,
    /// A caller key of a contract.
    pub(crate) caller_key: String,
    /// The trusted certificates.
    pub(crate) trust: Trust,
    /// How long `--wait` waits, in milliseconds.
    pub(crate) wait_limit_ms: u64,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

/// The command to run.
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
    Status(StatusQuery),
    Entry { zone: Option<String> },
    Chat(Chat),
    Explain(Explain),
    ServerSet(SetGoal),
    PoolFencing(SetFencing),
}

/// Applies a contract file.
#[derive(Clone, Debug)]
pub(crate) struct ContractApply {
    /// The contract file (TOML).
    pub(crate) file: PathBuf,
    /// The version of the contract that the file is based on; `None` for the current one.
    pub(crate) seen_version: Option<u64>,
    /// Whether to wait until the contract is in force on every router.
    pub(crate) wait: bool,
}

/// Shows a contract.
#[derive(Clone, Debug)]
pub(crate) struct ContractShow {
    pub(crate) customer: String,
    /// The configuration version to show the contract at; `None` for the current one.
    pub(crate) version: Option<u64>,
}

/// Drains a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerDrain {
    /// The name of the server.
    pub(crate) server: String,
    /// Whether to end a drain instead of starting one.
    pub(crate) undo: bool,
    /// Whether to wait until no router has a request in flight on the server.
    pub(crate) wait: bool,
    /// Whether to stop the server once it has no request in flight.
    pub(crate) stop: bool,
}

/// Shows the status of the fleet as seen by one router.
#[derive(Clone, Debug)]
pub(crate) struct StatusQuery {
    /// Whether to wait until the router answers and sees at least the given numbers of live VMs.
    pub(crate) wait: bool,
    /// The number of live routers to wait for.
    pub(crate) routers: usize,
    /// The number of live backend servers to wait for.
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

/// Explains from logs how one request was handled.
#[derive(Clone, Debug)]
pub(crate) struct Explain {
    /// The id of the request.
    pub(crate) id: String,
    /// Log files of routers; standard input if empty.
    pub(crate) files: Vec<PathBuf>,
}

/// Parses the command line into a command and the options.
pub(crate) fn parse_command(mut arguments: Arguments) -> Result<(Command, Options), CliError> {
    let options = parse_options(&mut arguments)?;
    let noun = arguments
        .subcommand()
        .context(ArgumentsSnafu)?
        .unwrap_or_default();
    let command = match noun.as_str() {
        "contract" => parse_contract_command(&mut arguments)?,
        "change" => match subcommand(&mut arguments)?.as_str() {
            "show" => Command::ChangeShow {
                change_id: positional(&mut arguments, "CHANGE-ID")?,
            },
            other => return unknown_command("change", other),
        },
        "router" => match subcommand(&mut arguments)?.as_str() {
            "list" => Command::RouterList,
            "stop" => Command::RouterStop {
                name: positional(&mut arguments, "NAME")?,
            },
            other => return unknown_command("router", other),
        },
        "server" => match subcommand(&mut arguments)?.as_str() {
            "list" => Command::ServerList,
            "drain" => Command::ServerDrain(ServerDrain {
                undo: arguments.contains("--undo"),
                wait: arguments.contains("--wait"),
                stop: arguments.contains("--stop"),
                server: positional(&mut arguments, "NAME")?,
            }),
            "set" => Command::ServerSet(parse_server_set(&mut arguments)?),
            other => return unknown_command("server", other),
        },
        "pool" => match subcommand(&mut arguments)?.as_str() {
            "fencing" => Command::PoolFencing(parse_pool_fencing(&mut arguments)?),
            other => return unknown_command("pool", other),
        },
        "status" => Command::Status(parse_status(&mut arguments)?),
        "entry" => Command::Entry {
            zone: optional_value(&mut arguments, "--zone")?,
        },
        "chat" => Command::Chat(Chat {
            model: arguments
                .value_from_str("--model")
                .context(ArgumentsSnafu)?,
            workspace: optional_value(&mut arguments, "--workspace")?,
            chat: optional_value(&mut arguments, "--chat")?,
            class: optional_value(&mut arguments, "--class")?,
            text: positional(&mut arguments, "TEXT")?,
        }),
        "explain" => {
            let id = positional(&mut arguments, "ID")?;
            let files = arguments.finish().into_iter().map(PathBuf::from).collect();
            return Ok((Command::Explain(Explain { id, files }), options));
        }
        other => return unknown_command("sapphiretrack", other),
    };
    match arguments.finish().first() {
        None => Ok((command, options)),
        Some(argument) => {
            let problem = format!("unknown argument {argument:?}");
            UsageSnafu { problem }.fail()
        }
    }
}

fn parse_status(arguments: &mut Arguments) -> Result<StatusQuery, CliError> {
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
    Ok(StatusQuery {
        wait,
        routers: routers.unwrap_or(1),
        servers: servers.unwrap_or(0),
    })
}

fn parse_server_set(arguments: &mut Arguments) -> Result<SetGoal, CliError> {
    let adapters = optional_value(arguments, "--adapters")?;
    Ok(SetGoal {
        model: optional_value(arguments, "--model")?,
        version: optional_value(arguments, "--model-version")?,
        adapters: adapters.map(|names| {
            let names = names.split(',').filter(|name| !name.is_empty());
            names.map(str::to_owned).collect()
        }),
        role: optional_value(arguments, "--role")?,
        stopped: arguments.contains("--stopped"),
        server: positional(arguments, "NAME")?,
    })
}

fn parse_pool_fencing(arguments: &mut Arguments) -> Result<SetFencing, CliError> {
    let checks = arguments.contains("--checks");
    let ignores = arguments.contains("--ignores");
    if checks == ignores {
        let problem = "one of --checks and --ignores is needed";
        return UsageSnafu { problem }.fail();
    }
    Ok(SetFencing {
        pool: positional(arguments, "POOL")?,
        checks,
    })
}

fn parse_contract_command(arguments: &mut Arguments) -> Result<Command, CliError> {
    match subcommand(arguments)?.as_str() {
        "apply" => {
            let new = arguments.contains("--new");
            let seen: Option<u64> = arguments
                .opt_value_from_str("--seen")
                .context(ArgumentsSnafu)?;
            Ok(Command::ContractApply(ContractApply {
                seen_version: if new { Some(0) } else { seen },
                wait: arguments.contains("--wait"),
                file: PathBuf::from(positional(arguments, "FILE")?),
            }))
        }
        "show" => Ok(Command::ContractShow(ContractShow {
            version: arguments
                .opt_value_from_str("--version")
                .context(ArgumentsSnafu)?,
            customer: positional(arguments, "CUSTOMER")?,
        })),
        "history" => Ok(Command::ContractHistory),
        other => unknown_command("contract", other),
    }
}

fn parse_options(arguments: &mut Arguments) -> Result<Options, CliError> {
    let wait_limit_ms: Option<u64> = arguments
        .opt_value_from_str("--wait-limit-ms")
        .context(ArgumentsSnafu)?;
    let trust = match flag_or_env(arguments, "--tls-ca", "")?.as_str() {
        "" => Trust::default(),
        file => Trust::from_pem_file(Path::new(file)).context(TrustSnafu)?,
    };
    Ok(Options {
        trust,
        router: flag_or_env(arguments, "--router", "http://127.0.0.1:8081")?,
        operator_key: flag_or_env(arguments, "--operator-key", "")?,
        operator: flag_or_env(arguments, "--operator", "operator")?,
        caller_url: flag_or_env(arguments, "--caller-url", "http://127.0.0.1:8080")?,
        caller_key: flag_or_env(arguments, "--caller-key", "")?,
        wait_limit_ms: wait_limit_ms.unwrap_or(30_000),
        json: arguments.contains("--json"),
    })
}

/// Builds the URL of an address with the scheme of another URL, `http` or `https`.
pub(crate) fn with_scheme_of(url: &str, address: &str) -> String {
    let scheme = if url.starts_with("https://") {
        "https"
    } else {
        "http"
    };
    format!("{scheme}://{address}")
}

/// The value of a flag, or else of its environment variable, or else the default.
fn flag_or_env(
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
    let value = optional_value(arguments, flag)?.or_else(|| std::env::var(variable).ok());
    Ok(value.unwrap_or_else(|| default.to_owned()))
}

fn optional_value(
    arguments: &mut Arguments,
    flag: &'static str,
) -> Result<Option<String>, CliError> {
    arguments.opt_value_from_str(flag).context(ArgumentsSnafu)
}

fn subcommand(arguments: &mut Arguments) -> Result<String, CliError> {
    Ok(arguments
        .subcommand()
        .context(ArgumentsSnafu)?
        .unwrap_or_default())
}

fn positional(arguments: &mut Arguments, name: &str) -> Result<String, CliError> {
    let value: Option<String> = arguments.opt_free_from_str().context(ArgumentsSnafu)?;
    match value {
        Some(value) => Ok(value),
        None => UsageSnafu {
            problem: format!("{name} is missing"),
        }
        .fail(),
    }
}

fn unknown_command<T>(noun: &str, word: &str) -> Result<T, CliError> {
    let problem = match word {
        "" => format!("{noun}: a command is missing"),
        word => format!("{noun}: there is no command {word:?}"),
    };
    UsageSnafu { problem }.fail()
}
