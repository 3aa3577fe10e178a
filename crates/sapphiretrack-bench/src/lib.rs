//! Measurements of the router fleet.

pub mod demo;
pub mod policy;
