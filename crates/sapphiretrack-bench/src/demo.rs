//! The demo: the whole of it in one process on embedded stand-ins.

use pico_args::Arguments;

/// Runs the demo; an error says which promise did not hold.
pub fn run(_arguments: Arguments) -> Result<(), String> {
    Err(String::from("the demo is not built yet"))
}
