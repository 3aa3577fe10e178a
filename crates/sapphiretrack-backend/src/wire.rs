//! What backend servers and routers say to each other beside the callers' own bodies.

/// Carries the attempt's id to a backend server and back.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Carries the priority; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Carries the time that is left for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Carries how many tokens the caller has already; the engine goes on after them.
pub const RESUME_HEADER: &str = "x-resume-tokens";
/// Carries the chat's key, under which an engine keeps its prefix.
pub const CHAT_HEADER: &str = "x-chat-key";
/// Set to `true` by a server that refuses a request that it did not start.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Carries the address of the engine to import the chat's cached prefix from.
pub const IMPORT_HEADER: &str = "x-import-from";
/// The path under which an engine exports a chat's cached prefix, followed by the chat's key.
pub const EXPORT_PATH: &str = "/kv/";
/// Set to `true`, beside [`NOT_STARTED_HEADER`], by a server that refuses because it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
