//! Helpers of the subcommands: the check for unused arguments, and the runtime.

use std::future::Future;

use pico_args::Arguments;

/// Returns an error if any argument is left that no flag has consumed.
pub(crate) fn reject_unused_arguments(arguments: Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => Err(format!("unknown argument {argument:?}; hint: see --help")),
    }
}

/// Runs a measurement on a multi-threaded runtime.
pub(crate) fn block_on<Work>(worker_threads: usize, work: Work) -> Result<(), String>
where
    Work: Future<Output = Result<(), String>>,
{
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?
        .block_on(work)
}
