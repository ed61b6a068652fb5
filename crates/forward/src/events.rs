use super::*;

/// Cuts a stream of events into whole events, so that one that breaks off is not passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
    /// Bytes of the buffer in which no end of an event is.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the whole events among those that are there, as they came.
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

    /// Forgets an event that broke off.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Whether an event is not complete.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of the event that is not complete.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Id of the last whole event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Bytes up to the end of the last whole event.
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
