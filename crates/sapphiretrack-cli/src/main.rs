//! The command-line tool for operators.

mod callers;
mod command;
mod contracts;
mod error;
mod explain;
mod fleet;
mod goals;
mod table;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::command::{Command, Options, parse_command};
use crate::error::CliError;

const HELP: &str = "\
sapphiretrack: controls a fleet of routers

  sapphiretrack contract apply FILE [--new | --seen VERSION] [--wait]
  sapphiretrack contract show CUSTOMER [--version VERSION]
  sapphiretrack contract history
  sapphiretrack change show CHANGE-ID
  sapphiretrack router list
  sapphiretrack router stop NAME
  sapphiretrack server list
  sapphiretrack server drain NAME [--undo] [--wait] [--stop]
  sapphiretrack server set NAME [--model M] [--model-version V] [--adapters A,B]
                           [--role mixed|prefill|decode] [--stopped]
  sapphiretrack pool fencing POOL --checks|--ignores
  sapphiretrack status [--wait [--routers N] [--servers N]]
  sapphiretrack entry [--zone ZONE]
  sapphiretrack explain ID [FILE...]   (log files of routers, or else standard input)
  sapphiretrack chat --model MODEL [--workspace W] [--chat C] [--class C] TEXT

Options; the environment variable in parentheses sets the same value:
  --router URL          operator interface of a router, http://IP:PORT (SAPPHIRETRACK_ROUTER)
  --operator-key KEY    the operators' key (SAPPHIRETRACK_OPERATOR_KEY)
  --operator NAME       your name, for the history of changes (SAPPHIRETRACK_OPERATOR)
  --caller-url URL      caller interface of a router, for entry and chat (SAPPHIRETRACK_CALLER_URL)
  --caller-key KEY      caller key of a contract, for chat (SAPPHIRETRACK_CALLER_KEY)
  --tls-ca FILE         trusted certificates (PEM) for https:// URLs (SAPPHIRETRACK_TLS_CA)
  --wait-limit-ms N     how long --wait waits, in milliseconds [30000]
  --json                print JSON for scripts
  --help, --version

Exit codes: 0 accepted or done, 1 refused, 2 invalid usage, 3 outcome unknown: run `change show`
with the change id, 4 the router cannot be reached, 5 --wait reached its time limit
";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let only_version = std::env::args_os().len() == 2;
    if only_version && arguments.contains(["-V", "--version"]) {
        println!("sapphiretrack {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match parse_command(arguments) {
        Ok((command, options)) => run(command, &options).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sapphiretrack: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(command: Command, options: &Options) -> Result<String, CliError> {
    match command {
        Command::ContractApply(apply) => contracts::apply(options, &apply).await,
        Command::ContractShow(show) => contracts::show(options, &show).await,
        Command::ContractHistory => contracts::history(options).await,
        Command::ChangeShow { change_id } => contracts::change(options, &change_id).await,
        Command::RouterList => fleet::routers(options).await,
        Command::RouterStop { name } => fleet::stop(options, &name).await,
        Command::ServerList => fleet::servers(options).await,
        Command::ServerDrain(drain) => fleet::drain(options, &drain).await,
        Command::Status(query) => fleet::status(options, &query).await,
        Command::Entry { zone } => callers::entry(options, zone.as_deref()).await,
        Command::ServerSet(goal) => goals::set_goal(options, &goal).await,
        Command::PoolFencing(fencing) => goals::set_fencing(options, &fencing).await,
        Command::Chat(chat) => callers::chat(options, &chat).await,
        Command::Explain(query) => explain::explain(&query),
    }
}
