use {
    super::TestTarget,
    std::sync::Arc,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Target that writes to its connections what `answer` does, whether it is an answer or not.
pub async fn raw_target<F, A>(answer: F) -> TestTarget
where
    F: Fn(TcpStream) -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the stand-in works");
    let address = listener.local_addr().expect("the stand-in works");
    let (stop, mut stopped) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = stopped.changed() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("the stand-in works");
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
