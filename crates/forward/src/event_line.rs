use super::*;

/// Line of a stream of server-sent events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventLine<'a> {
    /// End of an event.
    Blank,
    Comment,
    /// Field that the standard defines, other than the id.
    Field,
    Id(&'a [u8]),
    /// Neither a field nor a comment.
    Invalid,
    /// Field that the standard does not define. Receivers ignore it.
    Unknown,
}

impl<'a> EventLine<'a> {
    /// Parses a line without its end. A field that the standard does not define needs a colon and a name that
    /// could be one of a header, so that text and JSON are not taken for fields.
    pub(crate) fn parse(line: &'a [u8]) -> Self {
        if line.is_empty() {
            return Self::Blank;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        match name {
            b"" => Self::Comment,
            b"data" | b"event" | b"retry" => Self::Field,
            b"id" => Self::Id(&line[colon.map_or(line.len(), |at| at + 1)..]),
            _ if colon.is_some() && HeaderName::from_bytes(name).is_ok() => Self::Unknown,
            _ => Self::Invalid,
        }
    }
}

/// Whether a line contains the start of an HTTP/1 response, such as `HTTP/1.1 200`.
pub(crate) fn has_status_line(line: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    line.windows(VERSION.len() + 5).any(|window| {
        let Some([minor, b' ', code @ ..]) = window.strip_prefix(VERSION) else {
            return false;
        };
        minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit)
    })
}
