//! Parses lines of a router's log.

/// A parsed line: `TIME LEVEL text="TEXT" event=NUMBER key=value`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// The source of the line: the name of the file, or the word before the time.
    pub source: String,
    /// The time that the router wrote, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The number of the event.
    pub event: u16,
    /// The text of the event.
    pub text: String,
    /// The other fields, as keys and values in their order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a log event of a router. If a log collector prefixed the
    /// line, the word before the time replaces `source`.
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let start = line.find(" text=")?;
        let mut head = line[..start].split_whitespace().rev();
        let _level = head.next()?;
        let time_ms = head.next()?.parse().ok()?;
        let source = head.next().unwrap_or(source).to_owned();
        let mut fields = parse_fields(&line[start..]);
        let mut take = |name: &str| {
            let index = fields.iter().position(|(key, _)| key == name)?;
            Some(fields.remove(index).1)
        };
        let text = take("text")?;
        let event = take("event")?.parse().ok()?;
        Some(Self {
            source,
            time_ms,
            event,
            text,
            fields,
        })
    }

    /// The value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl std::fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            source,
            time_ms,
            event,
            text,
            ..
        } = self;
        write!(formatter, "{time_ms} {source} {event} {text}")?;
        for (key, value) in &self.fields {
            write!(formatter, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Parses fields `key=value` and `key="value"`; a quoted value may contain the escapes `\"` and
/// `\\`.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => split_quoted_value(quoted),
            None => {
                let end = after.find(' ').unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.push((key.to_owned(), value));
        rest = next.trim_start();
    }
    fields
}

/// Splits text into the unescaped value before the closing quote and the rest after it.
fn split_quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
