//! Reads routers' logs and tells the story of one request.

mod cause;
mod line;
mod story;

pub use line::LogLine;
pub use story::{Story, tell};
