use super::*;

/// Time limit for a notice to another instance.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens byte streams to targets through other instances.
#[derive(Clone, Copy, Debug)]
pub struct TunnelClient {
    /// Port at which all instances accept tunnels.
    port: u16,
}

impl TunnelClient {
    /// Creates a client for instances that accept tunnels at `port` of the address at which they accept
    /// requests of callers.
    #[must_use]
    pub fn new(port: u16) -> Self {
        Self { port }
    }

    fn address(self, instance: &Instance) -> SocketAddr {
        SocketAddr::new(instance.address.ip(), self.port)
    }
}

impl Tunnels for TunnelClient {
    fn open(
        &self,
        instance: &Instance,
        query: TunnelQuery,
    ) -> BoxFuture<'_, Result<BoxedStream, TunnelError>> {
        let address = self.address(instance);
        async move {
            match connect(address, query).await {
                Err(error) => {
                    tracing::info!(instance = %address, %error, "instance does not open tunnels");
                    Err(TunnelError::NoAnswer)
                }
                Ok(result) => result,
            }
        }
        .boxed()
    }

    fn report_pause(
        &self,
        instance: &Instance,
        target: TunnelQuery,
        wait: Duration,
    ) -> BoxFuture<'_, ()> {
        let address = self.address(instance);
        async move {
            let notice = async {
                let mut stream = TcpStream::connect(address).await?;
                let wait_ms = wait.as_millis() as u64;
                send(&mut stream, &Message::Pause { target, wait_ms }).await
            };
            match timeout(NOTICE_TIMEOUT, notice).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    tracing::warn!(instance = %address, %error, "pause of a target not reported");
                }
                Err(_) => tracing::warn!(instance = %address, "pause of a target not reported"),
            }
        }
        .boxed()
    }
}

async fn connect(
    address: SocketAddr,
    query: TunnelQuery,
) -> io::Result<Result<BoxedStream, TunnelError>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    send(&mut stream, &Message::Connect(query)).await?;
    let result: Result<(), TunnelError> = receive(&mut stream).await?;
    if let Err(error) = result {
        return Ok(Err(error));
    }
    let (reader, writer) = stream.into_split();
    let frames = stream::try_unfold(FramedRead::new(reader, codec()), next_frame);
    let reader = StreamReader::new(Box::pin(frames));
    Ok(Ok(Box::new(tokio::io::join(reader, writer))))
}

/// Returns the next bytes of the target; none at the end of its stream.
async fn next_frame(
    mut frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> io::Result<Option<(Bytes, FramedRead<OwnedReadHalf, LengthDelimitedCodec>)>> {
    match frames.next().await {
        None => Err(io::Error::new(
            io::ErrorKind::ConnectionReset,
            "the instance that forwards the answer has ended",
        )),
        Some(Err(error)) => Err(error),
        Some(Ok(frame)) if frame.is_empty() => Ok(None),
        Some(Ok(frame)) => Ok(Some((frame.freeze(), frames))),
    }
}
