//! The subcommand `report`: combines JSON lines of measurements into one Markdown or HTML file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const HELP: &str = "\
sapphiretrack-bench report: combines JSON lines of measurements into one report

  sapphiretrack-bench report FILE... [--html] [--out FILE]

Each line is a JSON object; its field `kind` names its section. The report is Markdown, or HTML with
--html, and is written to standard output unless --out is given.
";
/// The section of lines without the field `kind`.
const OTHER_KIND: &str = "other";

/// Why a file cannot be added to a report.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is not a JSON object.
    #[snafu(display("{}, line {line}: {problem}; hint: one JSON object per line", path.display()))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, from 1.
        line: usize,
        /// What is wrong with it.
        problem: String,
    },
}

/// The lines of all files, grouped by kind.
#[derive(Clone, Debug, Default)]
pub struct Report {
    sections: BTreeMap<String, Vec<Value>>,
}

impl Report {
    /// Adds the lines of a file; empty lines are skipped.
    pub fn add_file(&mut self, path: &Path) -> Result<(), ReportError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let problem = |problem: String| {
                let line = index + 1;
                LineSnafu {
                    path,
                    line,
                    problem,
                }
                .build()
            };
            let value: Value =
                serde_json::from_str(line).map_err(|error| problem(error.to_string()))?;
            if !value.is_object() {
                return Err(problem(String::from("not an object")));
            }
            self.add(value);
        }
        Ok(())
    }

    /// Adds a line, to the section `other` if it has no kind.
    pub fn add(&mut self, line: Value) {
        let kind = line["kind"].as_str().unwrap_or(OTHER_KIND).to_owned();
        self.sections.entry(kind).or_default().push(line);
    }

    /// The report as Markdown: for each kind a section with a table of its fields.
    pub fn markdown(&self) -> String {
        let mut text = String::from("# Measurements\n");
        for (kind, lines) in &self.sections {
            let columns = columns(lines);
            text.push_str(&format!("\n## {kind}\n\n| {} |\n", columns.join(" | ")));
            text.push_str(&format!("|{}\n", " --- |".repeat(columns.len())));
            for line in lines {
                let cells = columns.iter().map(|column| cell(line, column));
                let cells: Vec<_> = cells.map(|cell| cell.replace('|', "\\|")).collect();
                text.push_str(&format!("| {} |\n", cells.join(" | ")));
            }
        }
        text
    }

    /// The report as HTML, with the same sections and tables.
    pub fn html(&self) -> String {
        let mut text = String::from(
            "<!doctype html>\n<meta charset=\"utf-8\">\n<title>Measurements</title>\n\
             <style>td,th{border:1px solid #999;padding:2px 6px}table{border-collapse:collapse}\
             </style>\n<h1>Measurements</h1>\n",
        );
        for (kind, lines) in &self.sections {
            let columns = columns(lines);
            text.push_str(&format!("<h2>{}</h2>\n<table>\n<tr>", escape(kind)));
            for column in &columns {
                text.push_str(&format!("<th>{}</th>", escape(column)));
            }
            text.push_str("</tr>\n");
            for line in lines {
                text.push_str("<tr>");
                for column in &columns {
                    text.push_str(&format!("<td>{}</td>", escape(&cell(line, column))));
                }
                text.push_str("</tr>\n");
            }
            text.push_str("</table>\n");
        }
        text
    }
}

/// Runs the subcommand; an error says what is wrong.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let with_hint = |error: pico_args::Error| format!("{error}; hint: see --help");
    let html = arguments.contains("--html");
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out").map_err(with_hint)?;
    let files = arguments.finish();
    if files.is_empty() {
        return Err(String::from("no file is given; hint: see --help"));
    }
    let mut report = Report::default();
    for file in files {
        let added = report.add_file(Path::new(&file));
        added.map_err(|error| error.to_string())?;
    }
    let text = if html {
        report.html()
    } else {
        report.markdown()
    };
    match out {
        Some(path) => std::fs::write(&path, text)
            .map_err(|error| format!("{} cannot be written: {error}", path.display())),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

/// The names of all fields of the lines that are not objects, nested ones as `outer.inner`, without
/// `kind`.
fn columns(lines: &[Value]) -> Vec<String> {
    let mut columns = Vec::new();
    for line in lines {
        collect_columns(line, "", &mut columns);
    }
    columns
}

fn collect_columns(value: &Value, prefix: &str, columns: &mut Vec<String>) {
    let Value::Object(fields) = value else { return };
    for (name, field) in fields {
        let path = format!("{prefix}{name}");
        match field {
            Value::Object(_) => collect_columns(field, &format!("{path}."), columns),
            _ if path == "kind" || columns.contains(&path) => {}
            _ => columns.push(path),
        }
    }
}

fn cell(line: &Value, column: &str) -> String {
    let mut value = line;
    for name in column.split('.') {
        value = &value[name];
    }
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        // An array of objects does not fit in a cell; only its length is shown.
        Value::Array(items) if items.iter().any(Value::is_object) => {
            format!("{} entries", items.len())
        }
        other => other.to_string(),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
