use super::*;

/// Byte stream to a server.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> Stream for S {}

/// Byte stream to a server over any transport.
pub type BoxedStream = Box<dyn Stream>;

/// Opens byte streams to servers.
pub trait Connector: Send + Sync {
    /// Opens a stream to the server at `address`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Connect` when none is open within `limit`.
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, Error>>;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, Error>> {
        Box::pin(async move { Ok(Box::new(connect(address, limit).await?) as BoxedStream) })
    }
}

/// Opens a TCP connection without delays for small segments.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Err(_) => {
            return Err(connect_error(
                address,
                &format!("no answer within {limit:?}"),
            ));
        }
        Ok(result) => result.map_err(|error| connect_error(address, &error))?,
    };
    stream
        .set_nodelay(true)
        .map_err(|error| connect_error(address, &error))?;
    Ok(stream)
}

pub(crate) fn connect_error(address: SocketAddr, cause: &impl ToString) -> Error {
    Error::Connect {
        address,
        message: cause.to_string(),
    }
}
