/// Longest line with the size of a chunk, and longest trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// How the end of a reply's body is found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReplyFraming {
    /// The body is a series of chunks.
    Chunked(ChunkPosition),
    /// This number of bytes of the body has not been received yet.
    Length(u64),
    /// The body ends with the connection.
    UntilClose,
}

/// Position within a chunked body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ChunkPosition {
    /// Within a chunk, of which this number of bytes has not been received yet, with the line end behind it.
    Data(u64),
    /// Within the line with the size of a chunk, of which this part has been received.
    Size(Vec<u8>),
    /// Within the lines behind the last chunk; the length of the current line without its line end.
    Trailer(usize),
}

/// The body is not valid, so that its end cannot be found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FramingError;

impl ReplyFraming {
    /// Framing of a reply according to its head. Heads that contradict themselves have none.
    pub(crate) fn of(
        status: u16,
        is_reply_to_head: bool,
        headers: &[httparse::Header],
    ) -> Result<Self, FramingError> {
        if is_reply_to_head || matches!(status, 204 | 304) {
            return Ok(Self::Length(0));
        }
        let values = |name: &str| {
            let name = name.to_owned();
            let named = headers
                .iter()
                .filter(move |one| one.name.eq_ignore_ascii_case(&name));
            named.map(|one| std::str::from_utf8(one.value).unwrap_or_default().trim())
        };
        let encodings: Vec<&str> = values("transfer-encoding").collect();
        let mut lengths = values("content-length");
        match (&encodings[..], lengths.next()) {
            ([], None) => Ok(Self::UntilClose),
            ([], Some(length)) => {
                if lengths.any(|other| other != length) {
                    return Err(FramingError);
                }
                let length = length.parse().map_err(|_| FramingError)?;
                Ok(Self::Length(length))
            }
            ([encoding], None) if encoding.eq_ignore_ascii_case("chunked") => {
                Ok(Self::Chunked(ChunkPosition::Size(Vec::new())))
            }
            _ => Err(FramingError),
        }
    }

    /// Whether the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        *self == Self::Length(0)
    }

    /// Finds how many of the received bytes belong to the body, and moves behind them.
    pub(crate) fn consume(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        match self {
            Self::UntilClose => Ok(bytes.len()),
            Self::Length(left) => {
                let count = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *left -= count as u64;
                Ok(count)
            }
            Self::Chunked(_) => self.consume_chunks(bytes),
        }
    }

    fn consume_chunks(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        let mut count = 0;
        while count < bytes.len() {
            let Self::Chunked(position) = self else {
                return Ok(count);
            };
            match position {
                ChunkPosition::Data(0) => *position = ChunkPosition::Size(Vec::new()),
                ChunkPosition::Data(left) => {
                    let rest = bytes.len() - count;
                    let part = usize::try_from(*left).unwrap_or(usize::MAX).min(rest);
                    *left -= part as u64;
                    count += part;
                }
                ChunkPosition::Size(line) => {
                    line.push(bytes[count]);
                    count += 1;
                    if line.ends_with(b"\n") {
                        *position = after_size(line)?;
                    } else if line.len() > MAX_CHUNK_LINE_BYTES {
                        return Err(FramingError);
                    }
                }
                ChunkPosition::Trailer(length) => {
                    let byte = bytes[count];
                    count += 1;
                    match byte {
                        b'\n' if *length == 0 => *self = Self::Length(0),
                        b'\n' => *length = 0,
                        b'\r' => {}
                        _ if *length > MAX_CHUNK_LINE_BYTES => return Err(FramingError),
                        _ => *length += 1,
                    }
                }
            }
        }
        Ok(count)
    }
}

/// Position behind the line with the size of a chunk.
fn after_size(line: &[u8]) -> Result<ChunkPosition, FramingError> {
    let httparse::Status::Complete((_, size)) =
        httparse::parse_chunk_size(line).map_err(|_| FramingError)?
    else {
        return Err(FramingError);
    };
    if size == 0 {
        return Ok(ChunkPosition::Trailer(0));
    }
    let line_end = 2;
    let bytes = size.checked_add(line_end).ok_or(FramingError)?;
    Ok(ChunkPosition::Data(bytes))
}
