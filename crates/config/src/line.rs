//! Lines of an INI file.

/// What a line of an INI file is, as far as it takes to find sections and keys again.
///
/// `rust-ini` accepts keys and section names that span lines, and reports at most one error, without
/// its section. Each line is therefore checked on its own before the text is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Line<'a> {
    /// Empty, or a comment.
    Blank,
    /// `[name]`.
    Header(&'a str),
    /// `key = value`; holds the key.
    Key(&'a str),
    /// A section header that cannot be read.
    MalformedHeader,
    /// Anything else.
    Malformed,
}

impl<'a> Line<'a> {
    /// Reads a line without its line break.
    pub(crate) fn read(line: &'a str) -> Self {
        let text = strip_comment(line.trim()).trim_end();
        if text.is_empty() {
            return Self::Blank;
        }
        let unreadable = text.contains(|c: char| c == '\\' || (c.is_control() && c != '\t'));
        if let Some(rest) = text.strip_prefix('[') {
            return match rest.strip_suffix(']').map(str::trim) {
                Some(name) if !unreadable && !name.is_empty() && !name.contains(['[', ']']) => {
                    Self::Header(name)
                }
                _ => Self::MalformedHeader,
            };
        }
        match text.split_once('=').map(|(key, _)| key.trim_end()) {
            Some(key) if !unreadable && !key.is_empty() && !key.contains([':', '"', '\'']) => {
                Self::Key(key)
            }
            _ => Self::Malformed,
        }
    }
}

/// Cuts a comment off: `;` or `#` at the start of the line or after white space.
fn strip_comment(line: &str) -> &str {
    let mut after_space = true;
    for (index, c) in line.char_indices() {
        if after_space && (c == ';' || c == '#') {
            return &line[..index];
        }
        after_space = c == ' ' || c == '\t';
    }
    line
}
