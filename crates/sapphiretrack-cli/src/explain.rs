//! Tells the story of one request from routers' logs.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use sapphiretrack_logs::{LogLine, tell};
use snafu::ResultExt;

use crate::command::Explain;
use crate::error::{CliError, ReadFileSnafu, UsageSnafu};

/// The story of a request and its cause.
pub(crate) fn explain(wanted: &Explain) -> Result<String, CliError> {
    let mut lines = Vec::new();
    if wanted.files.is_empty() {
        let file = Path::new("standard-input");
        read_lines("standard-input", std::io::stdin(), &mut lines)
            .context(ReadFileSnafu { file })?;
    }
    for file in &wanted.files {
        let source = file.file_stem().unwrap_or(file.as_os_str());
        let source = source.to_string_lossy();
        let opened = std::fs::File::open(file).context(ReadFileSnafu { file })?;
        read_lines(&source, opened, &mut lines).context(ReadFileSnafu { file })?;
    }
    let Some(story) = tell(&wanted.id, &lines) else {
        let problem = format!("no line names the request {:?}", wanted.id);
        return UsageSnafu { problem }.fail();
    };
    let lines = story.lines.iter().map(|line| format!("{line}\n"));
    let lines: String = lines.collect();
    Ok(format!("{lines}\n{}\n", story.cause))
}

/// Keeps the lines that are events; a collector may mix in others.
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
