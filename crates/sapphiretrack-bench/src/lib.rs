//! Measurements of the router fleet.

pub mod demo;
pub mod load;
pub mod report;
pub mod slopes;
pub mod soak;
