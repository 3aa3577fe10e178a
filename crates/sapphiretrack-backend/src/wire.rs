//! Headers and paths of the protocol between routers and backend servers.

/// Carries the attempt's id to a backend server and back.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Carries the priority. 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Carries the time left for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Carries the number of tokens already sent to the caller. The engine continues after them.
pub const RESUME_HEADER: &str = "x-resume-tokens";
/// Carries the chat's key, under which an engine caches the chat's prefix.
pub const CHAT_HEADER: &str = "x-chat-key";
/// Set to `true` by a server that refuses a request without having started it.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Carries the address of the engine from which to import the chat's cached prefix.
pub const IMPORT_HEADER: &str = "x-import-from";
/// Path at which an engine exports a chat's cached prefix, followed by the chat's key.
pub const EXPORT_PATH: &str = "/kv/";
/// Set to `true`, in addition to [`NOT_STARTED_HEADER`], by a server that refuses because it is
/// leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// States the version of a server's software in its answers; missing if all its servers run one version.
pub const SOFTWARE_HEADER: &str = "x-software-version";
/// Carries the version of the software that began the answer. A server of another version refuses without
/// having started the request.
pub const REQUIRED_SOFTWARE_HEADER: &str = "x-required-software-version";
