//! The growth of a router's resource usage with the size of each quantity, such as peers, contracts
//! or open streams.

mod command;
mod line;
mod measures;
mod usage;

pub use command::run;
pub use line::{Point, Slope, fit};
