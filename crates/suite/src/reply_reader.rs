use super::*;

/// Maximum length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How the body of a reply ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// With a chunk of length zero and the trailers.
    Chunked,
    /// After the body's remaining bytes.
    Length(usize),
    /// With the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing that a head of a reply announces. Replies to HEAD are not supported.
    pub(crate) fn of(head: &str) -> Self {
        if matches!(status(head), 204 | 304) {
            return Self::Length(0);
        }
        if header(head, "transfer-encoding").is_some() {
            return Self::Chunked;
        }
        let length = header(head, "content-length").and_then(|text| text.parse().ok());
        length.map_or(Self::UntilClose, Self::Length)
    }
}

/// Reads the replies on a connection in pieces that keep their framing.
#[derive(Debug)]
pub(crate) struct ReplyReader {
    buffer: Vec<u8>,
    stream: OwnedReadHalf,
}

impl ReplyReader {
    pub(crate) fn new(stream: OwnedReadHalf) -> Self {
        Self {
            buffer: Vec::new(),
            stream,
        }
    }

    /// Completes when bytes of a reply have arrived. Returns false when the connection has ended.
    pub(crate) async fn has_bytes(&mut self) -> bool {
        !self.buffer.is_empty() || self.fill().await
    }

    /// Reads a head with its empty line; none when the connection ends before or the head is too long.
    pub(crate) async fn head(&mut self) -> Option<String> {
        let end = self.position_behind(b"\r\n\r\n", 0).await?;
        let head = self.buffer.drain(..end).collect();
        String::from_utf8(head).ok()
    }

    /// Reads the next piece of a body and whether it is the last one; none when the connection ends
    /// before the body does.
    pub(crate) async fn piece(&mut self, framing: &mut Framing) -> Option<(Vec<u8>, bool)> {
        let (length, is_last) = match framing {
            Framing::Chunked => self.chunk().await?,
            Framing::Length(0) => (0, true),
            Framing::Length(left) => {
                if !self.has_bytes().await {
                    return None;
                }
                let length = self.buffer.len().min(*left);
                *left -= length;
                (length, *left == 0)
            }
            Framing::UntilClose => {
                let is_open = self.has_bytes().await;
                (self.buffer.len(), !is_open)
            }
        };
        Some((self.buffer.drain(..length).collect(), is_last))
    }

    /// Waits for a whole chunk. Returns its length with its framing and whether it is the last one.
    async fn chunk(&mut self) -> Option<(usize, bool)> {
        let start = self.position_behind(b"\r\n", 0).await?;
        let line = String::from_utf8_lossy(&self.buffer[..start]).into_owned();
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            // The trailers may be empty, so the search starts at the end of the chunk's own line.
            let end = self.position_behind(b"\r\n\r\n", start - 2).await?;
            return Some((end, true));
        }
        let end = start + size + 2;
        while self.buffer.len() < end {
            if !self.fill().await {
                return None;
            }
        }
        Some((end, false))
    }

    /// Waits until the buffer contains `mark` at or after `from`. Returns the position behind it.
    async fn position_behind(&mut self, mark: &[u8], from: usize) -> Option<usize> {
        loop {
            let searched = self.buffer.get(from..).unwrap_or_default();
            let mut windows = searched.windows(mark.len());
            if let Some(position) = windows.position(|window| window == mark) {
                return Some(from + position + mark.len());
            }
            if self.buffer.len() > MAX_HEAD_BYTES || !self.fill().await {
                return None;
            }
        }
    }

    /// Reads more bytes. Returns false at the end of the connection.
    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }
}

/// Returns the status of a reply.
pub(crate) fn status(head: &str) -> u16 {
    let text = head.split_whitespace().nth(1);
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns the value of a header.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}

/// Returns a head without the lines of some headers.
pub(crate) fn without(head: &str, names: &[&str]) -> String {
    let mut rest = String::new();
    for line in head.split_inclusive("\r\n") {
        let key = line.split(':').next().unwrap_or_default();
        if !names.iter().any(|name| key.eq_ignore_ascii_case(name)) {
            rest.push_str(line);
        }
    }
    rest
}
