use super::*;

/// Splits a stream of server-sent events at event boundaries, so that an event that is interrupted is
/// never forwarded in part.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
    /// Number of bytes at the start of the buffer that are known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns all complete events in the buffer, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.last_end() else {
            self.searched = self.buffer.len().saturating_sub(3);
            return Bytes::new();
        };
        self.searched = 0;
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Drops the incomplete event.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Size of the incomplete event, in bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Offset of the end of the last complete event in the buffer.
    fn last_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for end in (self.searched + 2..=bytes.len()).rev() {
            let head = &bytes[..end];
            if head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n") || head.ends_with(b"\r\r") {
                return Some(end);
            }
        }
        None
    }
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let mut last = None;
    for line in events.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let Ok(text) = std::str::from_utf8(value) else {
            continue;
        };
        last = Some(text.trim());
    }
    last.map(Arc::from)
}
