//! Explains from routers' logs how one request was handled.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use sapphiretrack_logs::{LogLine, trace_request};
use snafu::ResultExt;

use crate::command::Explain;
use crate::error::{CliError, ReadFileSnafu, UsageSnafu};

/// Lists the log lines about a request, followed by why it ended as it did.
pub(crate) fn explain(query: &Explain) -> Result<String, CliError> {
    let mut lines = Vec::new();
    if query.files.is_empty() {
        let file = Path::new("standard-input");
        read_lines("standard-input", std::io::stdin(), &mut lines)
            .context(ReadFileSnafu { file })?;
    }
    for file in &query.files {
        let source = file.file_stem().unwrap_or(file.as_os_str());
        let source = source.to_string_lossy();
        let input = std::fs::File::open(file).context(ReadFileSnafu { file })?;
        read_lines(&source, input, &mut lines).context(ReadFileSnafu { file })?;
    }
    let Some(trace) = trace_request(&query.id, &lines) else {
        let problem = format!("no line names the request {:?}", query.id);
        return UsageSnafu { problem }.fail();
    };
    let lines = trace.lines.iter().map(|line| format!("{line}\n"));
    let lines: String = lines.collect();
    Ok(format!("{lines}\n{}\n", trace.cause))
}

/// Reads the lines that are log events of a router; collected logs may contain other lines.
fn read_lines<Input>(
    source: &str,
    input: Input,
    lines: &mut Vec<LogLine>,
) -> Result<(), std::io::Error>
where
    Input: Read,
{
    for line in BufReader::new(input).lines() {
        lines.extend(LogLine::parse(source, &line?));
    }
    Ok(())
}
