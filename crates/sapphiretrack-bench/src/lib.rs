//! Measurements of the router fleet.

pub mod claims;
pub mod demo;
pub mod limits;
mod open_loop;
pub mod overhead;
pub mod overload;
mod site;
mod small_fleet;
pub mod streams;
