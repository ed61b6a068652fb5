use super::*;

/// Maximum size of a frame, in bytes.
pub(crate) const FRAME_BYTES: usize = 16 * 1024;
/// Maximum size of a message, in bytes.
const MESSAGE_BYTES: u16 = 4 * 1024;

/// What an instance asks of another one. Messages are encoded by position, so the order of variants stays.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Message {
    /// Connect to a target, and forward bytes.
    Connect(TunnelQuery),
    /// A target has asked the instance that is connected to it for a pause.
    Pause {
        target: TunnelQuery,
        /// Length of the pause, in milliseconds.
        wait_ms: u64,
    },
}

/// Sends one message.
pub(crate) async fn send(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let bytes = bincode::serialize(message).map_err(io::Error::other)?;
    let length = u16::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut framed = length.to_be_bytes().to_vec();
    framed.extend(bytes);
    stream.write_all(&framed).await
}

/// Receives one message.
pub(crate) async fn receive<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u16().await?;
    if length > MESSAGE_BYTES {
        return Err(io::Error::other("the message is too long"));
    }
    let mut bytes = vec![0; usize::from(length)];
    stream.read_exact(&mut bytes).await?;
    bincode::deserialize(&bytes).map_err(io::Error::other)
}

/// Codec of the frames with the bytes of a target.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec()
}
