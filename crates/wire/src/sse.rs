use super::*;

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerEvent {
    /// Data; lines are joined with `\n`.
    pub data: String,
    /// Name of the event; empty means `message`.
    pub event: String,
    /// Id, which a client sends back as `Last-Event-ID`; empty for none.
    pub id: String,
}

impl ServerEvent {
    /// Writes the event as it travels.
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
    /// Reads events from `lines`.
    #[must_use]
    pub fn new(lines: LineReader) -> Self {
        Self {
            last_id: String::new(),
            lines,
        }
    }

    /// Id of the last event that had one, also of events without data; empty before the first.
    #[must_use]
    pub fn last_id(&self) -> &str {
        &self.last_id
    }

    /// Reads the next event; none is the end of the stream. An event that was cut off is not
    /// returned.
    ///
    /// # Errors
    ///
    /// Returns the errors of `LineReader::line`.
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
