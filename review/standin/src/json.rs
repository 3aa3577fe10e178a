//! Reads JSON as far as the store's calls need it.

use std::collections::BTreeMap;

pub enum Json {
    Nothing,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; what cannot be read becomes [`Json::Nothing`].
    pub fn parse(bytes: &[u8]) -> Self {
        value(&mut bytes.iter().copied().peekable())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Self::Nothing),
            _ => &Self::Nothing,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }
}

type Bytes<'a> = std::iter::Peekable<std::iter::Copied<std::slice::Iter<'a, u8>>>;

fn skip(bytes: &mut Bytes<'_>) -> Option<u8> {
    while bytes.next_if(u8::is_ascii_whitespace).is_some() {}
    bytes.peek().copied()
}

fn value(bytes: &mut Bytes<'_>) -> Json {
    match skip(bytes) {
        Some(b'"') => Json::Text(text(bytes)),
        Some(b'[') => {
            bytes.next();
            let mut items = Vec::new();
            while !matches!(skip(bytes), Some(b']') | None) {
                items.push(value(bytes));
                skip(bytes);
                bytes.next_if_eq(&b',');
            }
            bytes.next();
            Json::List(items)
        }
        Some(b'{') => {
            bytes.next();
            let mut table = BTreeMap::new();
            while let Some(b'"') = skip(bytes) {
                let name = text(bytes);
                skip(bytes);
                bytes.next_if_eq(&b':');
                table.insert(name, value(bytes));
                skip(bytes);
                bytes.next_if_eq(&b',');
            }
            bytes.next();
            Json::Table(table)
        }
        Some(_) => {
            let mut word = String::new();
            while let Some(byte) = bytes.next_if(|byte| !b",]} \r\n\t".contains(byte)) {
                word.push(byte as char);
            }
            word.parse().map_or(Json::Nothing, Json::Number)
        }
        None => Json::Nothing,
    }
}

fn text(bytes: &mut Bytes<'_>) -> String {
    bytes.next();
    let mut text = Vec::new();
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => break,
            b'\\' => text.extend(
                bytes
                    .next()
                    .map(|byte| if byte == b'n' { b'\n' } else { byte }),
            ),
            byte => text.push(byte),
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}
