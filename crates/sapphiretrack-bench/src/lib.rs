//! Measurements and the demo of the router fleet.

pub mod cell;
pub mod claims;
pub mod demo;
pub mod limits;
pub mod load;
mod open_loop;
pub mod overhead;
pub mod overload;
pub mod policy;
pub mod report;
mod run;
mod site;
pub mod slopes;
mod small_fleet;
pub mod soak;
pub mod streams;
