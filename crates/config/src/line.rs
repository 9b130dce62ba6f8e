//! Classification of the lines of an INI file.

/// A line of an INI file, parsed just far enough to locate section headers and keys.
///
/// `rust-ini` accepts keys and section names that span several lines, and reports at most one
/// error, without its section. Each line is therefore validated separately before `rust-ini` parses
/// the file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Line<'a> {
    /// An empty line or a comment.
    Blank,
    /// A section header, `[name]`; holds the name.
    Header(&'a str),
    /// `key = value`; holds the key.
    Key(&'a str),
    /// An invalid section header, such as one without a closing bracket.
    MalformedHeader,
    /// Any other line.
    Malformed,
}

impl<'a> Line<'a> {
    /// Classifies a line, given without its line break.
    pub(crate) fn parse(line: &'a str) -> Self {
        let text = strip_comment(line.trim()).trim_end();
        if text.is_empty() {
            return Self::Blank;
        }
        let has_invalid_char = text.contains(|c: char| c == '\\' || (c.is_control() && c != '\t'));
        if let Some(rest) = text.strip_prefix('[') {
            return match rest.strip_suffix(']').map(str::trim) {
                Some(name)
                    if !has_invalid_char && !name.is_empty() && !name.contains(['[', ']']) =>
                {
                    Self::Header(name)
                }
                _ => Self::MalformedHeader,
            };
        }
        match text.split_once('=').map(|(key, _)| key.trim_end()) {
            Some(key)
                if !has_invalid_char && !key.is_empty() && !key.contains([':', '"', '\'']) =>
            {
                Self::Key(key)
            }
            _ => Self::Malformed,
        }
    }
}

/// Removes a comment, which starts with `;` or `#` at the start of the line or after white space.
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
