//! Records a session of HTTP requests and answers as text, for golden files.

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The response headers that are recorded.
const RECORDED_HEADERS: [&str; 4] = [
    "content-type",
    "sapphiretrack-outcome",
    "sapphiretrack-warm",
    "retry-after",
];
/// Request header values with more bytes are recorded by their length.
const MAX_HEADER_BYTES: usize = 80;

/// Sends requests and records them with their answers.
pub struct SessionRecorder {
    url: String,
    http: Client<HttpConnector, Full<Bytes>>,
    text: String,
    last_headers: HeaderMap,
}

impl SessionRecorder {
    /// Creates a recorder of a session with the router at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            url: url.to_owned(),
            http: Client::builder(TokioExecutor::new()).build_http(),
            text: String::new(),
            last_headers: HeaderMap::new(),
        }
    }

    /// Adds a line that describes the next requests.
    pub fn note(&mut self, text: &str) {
        self.text.push_str(&format!("# {text}\n\n"));
    }

    /// Sends a request and records it with its answer.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) {
        self.text.push_str(&format!("> {method} {path}\n"));
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url));
        for (name, value) in headers {
            request = request.header(*name, *value);
            let recorded = match value.len() {
                0..=MAX_HEADER_BYTES => (*value).to_owned(),
                length => format!("({length} bytes)"),
            };
            self.text.push_str(&format!("> {name}: {recorded}\n"));
        }
        match body.len() {
            0 => {}
            length @ 1_000.. => self.text.push_str(&format!("> ({length} bytes)\n")),
            _ => self
                .text
                .push_str(&format!("> {}\n", String::from_utf8_lossy(&body))),
        }
        let request = request.body(Full::new(body)).expect("the request is valid");
        let response = self
            .http
            .request(request)
            .await
            .expect("the router answers");
        self.text
            .push_str(&format!("< {}\n", response.status().as_u16()));
        self.last_headers = response.headers().clone();
        for name in RECORDED_HEADERS {
            if let Some(value) = response.headers().get(name) {
                let value = value.to_str().unwrap_or_default();
                self.text.push_str(&format!("< {name}: {value}\n"));
            }
        }
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the answer is complete")
            .to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        for line in body.lines().filter(|line| !line.is_empty()) {
            self.text.push_str(&format!("< {line}\n"));
        }
        self.text.push('\n');
        self.text = redact(&self.text);
    }

    /// The value of a header of the last answer, or an empty string.
    pub fn last_header(&self, name: &str) -> String {
        let value = self
            .last_headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }

    /// The text of the session so far.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Replaces values that differ between runs: ports, ids, warm values and the times after which
/// changes came into force.
pub fn redact(text: &str) -> String {
    let mut redacted = String::new();
    let mut rest = text;
    while let Some(at) = rest.find("127.0.0.1:") {
        let (before, after) = rest.split_at(at + "127.0.0.1:".len());
        redacted.push_str(before);
        redacted.push_str("PORT");
        rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
        rest = rest.strip_prefix("PORT").unwrap_or(rest);
    }
    redacted.push_str(rest);
    redact_words(&redacted)
}

fn redact_words(text: &str) -> String {
    let mut redacted = String::new();
    let mut word = String::new();
    for character in text.chars() {
        if character.is_ascii_alphanumeric() {
            word.push(character);
            continue;
        }
        push_word(&mut redacted, &word);
        word.clear();
        redacted.push(character);
    }
    push_word(&mut redacted, &word);
    redact_times(&redacted)
}

fn push_word(redacted: &mut String, word: &str) {
    const ID_DIGITS: usize = 32;
    let is_id = word.len() == ID_DIGITS && word.chars().all(|c| c.is_ascii_hexdigit());
    redacted.push_str(if is_id { "ID" } else { word });
}

fn redact_times(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(" after ") {
        Some((before, after)) if after.ends_with(" ms") => format!("{before} after TIME ms"),
        _ => redact_warm(line),
    });
    let mut redacted: String = lines.map(|line| line + "\n").collect();
    if !text.ends_with('\n') {
        redacted.pop();
    }
    redacted
}

/// Replaces a warm value: it contains an incarnation, which the router knows only after the first
/// load report of the server.
fn redact_warm(line: &str) -> String {
    const MARKER: &str = "sapphiretrack-warm: ";
    match line.split_once(MARKER) {
        Some((before, _)) => format!("{before}{MARKER}WARM"),
        None => line.to_owned(),
    }
}
