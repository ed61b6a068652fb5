use {super::*, service::RelayService};

/// Pause when no connection can be accepted, so that open ones can end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the questions of other instances.
pub async fn serve(listener: TcpListener, handler: Arc<RelayHandler>) {
    loop {
        let stream = match listener.accept().await {
            Err(error) => {
                tracing::warn!(%error, "no connection of an instance accepted");
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
