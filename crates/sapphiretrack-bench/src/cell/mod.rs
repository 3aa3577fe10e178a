//! Measurements of one cell: the resources that routers use, and how fast they detect failures.

mod command;
mod detection;
mod routers;
mod usage;

pub use command::run;
