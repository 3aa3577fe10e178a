//! Small stand-ins of the platform, engines and plain services, with a switch for each fault.
//!
//! They speak the published protocols of what they stand for. Faults are set in process, or by
//! `POST /fake/faults` with the JSON of the stand-in's `Faults`.

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
pub use orders::ArrivedOrder;
pub use platform::{FakePlatform, PlatformCalls, PlatformFaults, PlatformSettings};
pub use service::{FakeService, ServiceFaults, ServiceSettings};
