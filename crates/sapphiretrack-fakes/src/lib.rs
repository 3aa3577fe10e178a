//! In-memory fakes of the platform, model engines and plain services, with fault injection.
//!
//! The fakes speak the same HTTP protocols as the real components. A test in the same process
//! sets faults with `set_faults`; other processes send `POST /fake/faults` with the JSON of
//! [`PlatformFaults`], [`EngineFaults`] or [`ServiceFaults`].

mod answer;
mod engine;
mod http_server;
mod kv;
mod orders;
mod platform;
mod service;

pub use answer::{answer_tag, expected_answer, messages_hash, token_text};
pub use engine::{EngineFaults, EngineSettings, FakeEngine};
pub use http_server::RunCount;
pub use orders::ReceivedOrder;
pub use platform::{FakePlatform, PlatformCalls, PlatformFaults, PlatformSettings};
pub use service::{FakeService, ServiceFaults, ServiceSettings};
