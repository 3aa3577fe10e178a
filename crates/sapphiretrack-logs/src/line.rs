//! One line of a router's log.

/// A line, taken apart: `TIME LEVEL text="TEXT" event=NUMBER key=value`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Whose log it is: the file's name, or what stands before the time.
    pub source: String,
    /// The Unix millisecond that the router wrote.
    pub time_ms: u64,
    /// The event's number.
    pub event: u16,
    /// The event's text.
    pub text: String,
    /// The fields in their order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; none if it is no event of a router. Words before the time, as collectors
    /// put there, name the source instead of `source`.
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let start = line.find(" text=")?;
        let mut head = line[..start].split_whitespace().rev();
        let _level = head.next()?;
        let time_ms = head.next()?.parse().ok()?;
        let source = head.next().unwrap_or(source).to_owned();
        let mut fields = fields(&line[start..]);
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

    /// A field's value.
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

/// Reads `key=value` and `key="value"`, the latter with `\"` and `\\` inside.
fn fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
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

/// The value up to the closing quote, and what follows it.
fn quoted_value(text: &str) -> (String, &str) {
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
