use {
    super::TestTarget,
    std::sync::Arc,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Fake target that lets `answer` write raw bytes to each connection, which need not be valid HTTP.
pub async fn raw_target<F, A>(answer: F) -> TestTarget
where
    F: Fn(TcpStream) -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("test support works");
    let address = listener.local_addr().expect("test support works");
    let (stop, mut stopped) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = stopped.changed() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("test support works");
                    tokio::spawn(answer(stream));
                }
            }
        }
    });
    TestTarget {
        address,
        requests: Arc::default(),
        _stop: stop,
    }
}
