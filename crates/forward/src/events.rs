use super::*;

/// Byte order mark, which may precede the first event of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Splits a stream of server-sent events at event boundaries, so that an event that is interrupted is
/// never forwarded in part. Bytes that are not events, and all that follow, are not forwarded: a faulty
/// target may write the text of an error or a reply to another request into a stream, or send events
/// once more. Ids that are numbers increase from event to event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of complete events. Blocks of comments and blank lines are none.
    event_count: u64,
    is_invalid: bool,
    last_id: Option<Arc<str>>,
    /// Length of the complete lines at the start of the buffer.
    line_bytes: usize,
    partial: PartialEvent,
    /// Number of bytes at the start of the buffer that are known to contain no further end of a line.
    searched: usize,
}

/// Complete lines of an incomplete event.
#[derive(Debug, Default)]
struct PartialEvent {
    /// Whether the last line ended with a carriage return alone.
    ends_with_return: bool,
    /// Whether there is a field that the standard defines.
    has_field: bool,
    /// Whether a line contains the start of an HTTP response.
    has_status_line: bool,
    /// Whether there is a field that the standard does not define.
    has_unknown: bool,
    id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Splits the rest of a stream that continues after the event `last_id`.
    #[must_use]
    pub fn resume(last_id: &str) -> Self {
        Self {
            last_id: Some(last_id.into()),
            ..Self::default()
        }
    }

    /// Adds bytes and returns all complete events in the buffer, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while !self.is_invalid {
            let Some(line) = self.next_line() else {
                break;
            };
            let is_end = line.is_empty();
            self.is_invalid = !self.record_line(line);
            if is_end && !self.is_invalid {
                end = self.line_bytes;
            }
        }
        self.line_bytes -= end;
        self.searched -= end;
        self.buffer.split_to(end).freeze()
    }

    /// Drops the incomplete event, or the bytes that are not events.
    pub fn discard(&mut self) {
        *self = Self {
            event_count: self.event_count,
            last_id: self.last_id.take(),
            ..Self::default()
        };
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffer holds bytes that are not events. They remain there until they are discarded.
    #[must_use]
    pub fn is_invalid(&self) -> bool {
        self.is_invalid
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

    /// Position of the next complete line in the buffer, without its end; none if there is no further one.
    fn next_line(&mut self) -> Option<Range<usize>> {
        let start = self.line_bytes;
        let unsearched = &self.buffer[self.searched..];
        let Some(offset) = unsearched.iter().position(|byte| b"\r\n".contains(byte)) else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = self.searched + offset;
        let is_return = self.buffer[end] == b'\r';
        let next = self.buffer.get(end + 1);
        // A line feed that belongs to the carriage return may not have arrived yet.
        if is_return && next.is_none() && !self.partial.ends_with_return {
            self.searched = end;
            return None;
        }
        let has_feed = is_return && next == Some(&b'\n');
        self.partial.ends_with_return = is_return && !has_feed;
        self.line_bytes = end + 1 + usize::from(has_feed);
        self.searched = self.line_bytes;
        Some(start..end)
    }

    /// Records a line of the incomplete event. Returns whether it can be one of an event.
    fn record_line(&mut self, line: Range<usize>) -> bool {
        let mut bytes = &self.buffer[line];
        if self.event_count == 0 {
            bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
        }
        let line = EventLine::parse(bytes);
        let event = &mut self.partial;
        // A response that interrupts a line has its headers on the next lines. Text of an event that quotes a
        // response has none there.
        if event.has_status_line && line == EventLine::Unknown {
            return false;
        }
        event.has_status_line |= has_status_line(bytes);
        match line {
            EventLine::Blank => return self.complete_event(),
            EventLine::Comment => {}
            EventLine::Field => event.has_field = true,
            EventLine::Id(value) => {
                event.has_field = true;
                if let Ok(id) = std::str::from_utf8(value) {
                    event.id = Some(id.trim().into());
                }
            }
            EventLine::Invalid => return false,
            EventLine::Unknown => event.has_unknown = true,
        }
        true
    }

    /// Completes the event. Returns false if it has only fields that receivers ignore, or repeats an event.
    fn complete_event(&mut self) -> bool {
        let event = std::mem::take(&mut self.partial);
        if event.has_unknown && !event.has_field {
            return false;
        }
        if let Some(id) = event.id {
            let last_id = self.last_id.as_deref().unwrap_or_default();
            if is_repeated(&id, last_id) {
                return false;
            }
            self.last_id = Some(id);
        }
        self.event_count += u64::from(event.has_field);
        true
    }
}

/// Whether an id is not above that of the last event. Only ids that are numbers have an order.
fn is_repeated(id: &str, last_id: &str) -> bool {
    let (Ok(id), Ok(last_id)) = (id.parse::<u64>(), last_id.parse::<u64>()) else {
        return false;
    };
    id <= last_id
}
