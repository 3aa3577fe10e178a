//! Client of the platform: transactional table, object store and list of VMs.
//!
//! The messages follow the platform's published protocol: JSON over HTTP.

mod claims;
mod client;
mod configuration;
mod error;
mod goals;
mod leases;
mod rows;
mod snapshot;
mod transaction;
mod unusable;
mod warm;
pub mod wire;

pub use claims::{ClaimStore, ClaimWriteResult, SweepResult};
pub use client::{PlatformClient, Settings};
pub use configuration::{ChangeOutcome, ConfigurationStore, KnownConfig};
pub use error::{ApplyError, PlatformError};
pub use goals::{EngineGoals, GoalStore};
pub use leases::{LeaseStore, LeaseWriteResult, StoredLease};
pub use rows::AcceptedChange;
pub use unusable::UnusableRowReporter;
pub use warm::{WarmPart, WarmSnapshot, WarmStore};
