//! Measurements of the router fleet.

pub mod claims;
pub mod demo;
mod open_loop;
pub mod overload;
mod small_fleet;
pub mod streams;
