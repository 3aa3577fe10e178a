//! Measurements of the router fleet.

pub mod cell;
pub mod demo;
pub mod limits;
pub mod load;
pub mod overhead;
pub mod report;
mod site;
pub mod slopes;
pub mod soak;
