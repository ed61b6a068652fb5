use super::*;

/// A server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerEvent {
    /// Payload; several `data` lines are joined with `\n`.
    pub data: String,
    /// Event type; empty means `message`.
    pub event: String,
    /// Event id, which a client returns as `Last-Event-ID` when it reconnects; empty for none.
    pub id: String,
}

impl ServerEvent {
    /// Encodes the event as `text/event-stream`.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut text = String::new();
        if !self.event.is_empty() {
            text.push_str(&format!("event: {}\n", self.event));
        }
        if !self.id.is_empty() {
            text.push_str(&format!("id: {}\n", self.id));
        }
        for line in self.data.split('\n') {
            text.push_str(&format!("data: {line}\n"));
        }
        text.push('\n');
        text.into()
    }
}

/// Reads server-sent events from a streamed reply.
#[derive(Debug)]
pub struct ServerEventReader {
    last_id: String,
    lines: LineReader,
}

impl ServerEventReader {
    /// Creates a reader of the events in `lines`.
    #[must_use]
    pub fn new(lines: LineReader) -> Self {
        Self {
            last_id: String::new(),
            lines,
        }
    }

    /// Returns the id of the last event that had one, including events without data; empty before
    /// the first.
    #[must_use]
    pub fn last_id(&self) -> &str {
        &self.last_id
    }

    /// Reads the next event with data; none at the end of the stream. A truncated event is not
    /// returned. `limit` applies to each chunk of the reply.
    ///
    /// # Errors
    ///
    /// Returns the errors of `LineReader::next_line`.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<ServerEvent>, Error> {
        let mut event = ServerEvent::default();
        let mut data: Option<String> = None;
        while let Some(line) = self.lines.next_line(limit).await? {
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end_matches('\r');
            if line.is_empty() {
                if !event.id.is_empty() {
                    self.last_id.clone_from(&event.id);
                }
                let Some(data) = data.take() else {
                    event = ServerEvent::default();
                    continue;
                };
                return Ok(Some(ServerEvent { data, ..event }));
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "data" => match &mut data {
                    None => data = Some(value.into()),
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                },
                "event" => event.event = value.into(),
                "id" => event.id = value.into(),
                _ => {}
            }
        }
        Ok(None)
    }
}
