//! Slopes: what a router spends, by the size of each thing that it holds or does.

mod command;
mod line;
mod measures;
mod usage;

pub use command::run;
pub use line::{Point, Slope, fit};
