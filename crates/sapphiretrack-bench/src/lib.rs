//! Measurements of the router fleet.

pub mod demo;
pub mod limits;
pub mod overhead;
pub mod policy;
mod site;
