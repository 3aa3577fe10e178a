//! The subcommand `report`: gathers JSON lines of all measurements into one file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const HELP: &str = "\
sapphiretrack-bench report: gathers JSON lines of all measurements into one file

  sapphiretrack-bench report FILE... [--html] [--out FILE]

Each line is a JSON object; `kind` names its section. The text is Markdown, or HTML with --html,
and goes to standard output without --out.
";
/// The section of lines without a kind.
const OTHER_KIND: &str = "other";

/// Why a report cannot be made.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line is no JSON object.
    #[snafu(display("{}, line {line}: {problem}; hint: one JSON object a line", path.display()))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong with it.
        problem: String,
    },
}

/// The lines of all files by kind.
#[derive(Clone, Debug, Default)]
pub struct Gathered {
    sections: BTreeMap<String, Vec<Value>>,
}

impl Gathered {
    /// Adds the lines of a file.
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
                return Err(problem(String::from("it is no object")));
            }
            self.add(value);
        }
        Ok(())
    }

    /// Adds a line.
    pub fn add(&mut self, line: Value) {
        let kind = line["kind"].as_str().unwrap_or(OTHER_KIND).to_owned();
        self.sections.entry(kind).or_default().push(line);
    }

    /// The report as Markdown: a section for each kind, a table of its plain fields.
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

    /// The same as HTML.
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
        return Err(String::from("a file is missing; hint: see --help"));
    }
    let mut gathered = Gathered::default();
    for file in files {
        let added = gathered.add_file(Path::new(&file));
        added.map_err(|error| error.to_string())?;
    }
    let text = if html {
        gathered.html()
    } else {
        gathered.markdown()
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

/// The names of all plain fields of the lines, nested ones as `outer.inner`.
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
        // What is longer than a cell is counted; the JSON lines have it whole.
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
