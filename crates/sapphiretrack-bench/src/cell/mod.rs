//! Measures one cell: what routers spend on control, and how soon they notice what happens.

mod command;
mod detection;
mod routers;
mod usage;

pub use command::run;
