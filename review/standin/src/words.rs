//! The names and texts of the users' platform, from `words.txt`.

/// Returns the text of this name.
pub fn text(name: &str) -> &'static str {
    let marker = format!("%%% {name}\n");
    let all = include_str!("../words.txt");
    let start = all
        .find(&marker)
        .unwrap_or_else(|| panic!("no text {name}"))
        + marker.len();
    let rest = &all[start..];
    &rest[..rest.find("%%% ").unwrap_or(rest.len())]
}

/// Returns the word of this name, without its line end.
pub fn word(name: &str) -> &'static str {
    text(name).trim_end()
}

/// Returns the text of this name with its words in braces filled in.
pub fn fill(name: &str, values: &[(&str, &str)]) -> String {
    let mut filled = text(name).to_owned();
    for (word, value) in values {
        filled = filled.replace(&format!("{{{word}}}"), value);
    }
    filled
}

/// Returns the head of a message, with the line ends of the protocol.
pub fn head(name: &str, values: &[(&str, &str)]) -> Vec<u8> {
    fill(name, values).replace('\n', "\r\n").into_bytes()
}
