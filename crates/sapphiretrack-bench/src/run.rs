//! What the measurements share as programs: arguments that are read to the end, and a runtime.

use std::future::Future;

use pico_args::Arguments;

/// Refuses arguments that no flag took.
pub(crate) fn check_all_read(arguments: Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => Err(format!("unknown argument {argument:?}; hint: see --help")),
    }
}

/// Runs a measurement on so many threads.
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
