use {super::*, service::RelayService};

/// Delay after a failure to accept a connection, which lets open connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers the queries of other instances.
pub async fn serve(listener: TcpListener, handler: Arc<RelayHandler>) {
    loop {
        let stream = match listener.accept().await {
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection from another instance");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            Ok((stream, _)) => stream,
        };
        let _ = stream.set_nodelay(true);
        let service = Service(handler.clone());
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(peer::transport(stream, FRAME_BYTES));
            let requests = channel.execute(service.serve());
            requests.for_each_concurrent(None, |request| request).await;
        });
    }
}
