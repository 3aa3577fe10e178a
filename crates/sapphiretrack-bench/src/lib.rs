//! Measurements of the router fleet.

pub mod cell;
pub mod demo;
