//! Measurements of the router fleet.

pub mod demo;
pub mod limits;
pub mod overhead;
mod site;
