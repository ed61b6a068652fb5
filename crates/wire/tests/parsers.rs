//! Property tests of the parsers: arbitrary bytes from a client or server must not cause a panic, a
//! hang or an unclear error.

use {
    bytes::Bytes,
    futures::future::BoxFuture,
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Runtime,
        sync::watch,
    },
    tracing_mutex::stdsync::Mutex,
    types::{Account, GenerateRequest, Plan, StoreRequest, StreamRecord},
    wire::{
        Call, Connection, Error, Handler, Limits, Request, Response, ServerEvent,
        ServerEventReader,
        hyper::{HeaderMap, Method, StatusCode},
    },
};

/// Generous, because only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Handler that streams fixed bytes in small chunks.
#[derive(Default)]
struct ChunkedBody(Mutex<Vec<u8>>);

impl Handler for ChunkedBody {
    fn handle(self: Arc<Self>, _request: Request) -> BoxFuture<'static, Response> {
        let bytes = self.0.lock().expect("no panic").clone();
        Box::pin(async move {
            let (body, response) = wire::stream(StatusCode::OK, "text/event-stream");
            tokio::spawn(async move {
                // An odd chunk size splits events at many offsets.
                for piece in bytes.chunks(7) {
                    if !body.send(Bytes::copy_from_slice(piece)).await {
                        return;
                    }
                }
            });
            response
        })
    }
}

fn test_runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, random)
}

fn start_server(runtime: &Runtime) -> (SocketAddr, Arc<ChunkedBody>, watch::Sender<bool>) {
    let body = Arc::new(ChunkedBody::default());
    let (stop, shutdown) = watch::channel(false);
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    runtime.spawn(wire::serve(
        listener,
        body.clone(),
        Limits::default(),
        shutdown,
    ));
    (address, body, stop)
}

async fn read_events(address: SocketAddr) -> Result<Vec<ServerEvent>, Error> {
    let mut connection = Connection::open(address, TIMEOUT).await?;
    let reply = connection.send(&Call::get("/")).await?;
    let mut reader = ServerEventReader::new(reply.lines());
    let mut events = Vec::new();
    while let Some(event) = reader.next(TIMEOUT).await? {
        events.push(event);
    }
    Ok(events)
}

#[test]
fn events_survive_any_split_and_any_neighbour() {
    let runtime = Runtime::new().unwrap();
    let (address, body, _stop) = start_server(&runtime);
    let filler = r"(:[a-z ]{0,9}|data|id:|event: [a-z]{0,5}|retry: x|[^\r\n]{0,20}|\r?)\n";
    let filler = proptest::collection::vec(filler, 0..6);
    let event = ("[a-z]{0,5}", r"[a-z0-9.]{1,9}", r"[a-zA-Zäß \n]{0,30}");
    test_runner(3, 150)
        .run(&(filler, event), |(filler, (event, id, data))| {
            let sent = ServerEvent { data, event, id };
            let mut bytes = filler.concat().into_bytes();
            bytes.extend_from_slice(b"\n\n");
            bytes.extend_from_slice(&sent.encode());
            bytes.extend_from_slice(b"data: cut off");
            *body.0.lock().unwrap() = bytes;
            let received = runtime.block_on(read_events(address)).unwrap();
            prop_assert_eq!(received.last(), Some(&sent));
            Ok(())
        })
        .unwrap();
}

#[test]
fn bytes_that_are_no_request_do_not_disturb_the_next_one() {
    let runtime = Runtime::new().unwrap();
    let (address, body, _stop) = start_server(&runtime);
    *body.0.lock().unwrap() = b"data: fine\n\n".to_vec();
    let head = r"(GET|POST|[A-Z]{1,9}) /[a-z/?%]{0,20} HTTP/1\.[0-9]\r\n([A-Za-z-]{1,12}: ?[a-z0-9]{0,12}\r\n){0,4}(\r\n)?";
    let bytes = prop_oneof![
        head.prop_map(String::into_bytes),
        proptest::collection::vec(any::<u8>(), 0..200),
    ];
    test_runner(5, 100)
        .run(&bytes, |bytes| {
            runtime.block_on(async {
                let mut stream = TcpStream::connect(address).await.unwrap();
                // The server may close before everything is written or read.
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                let mut reply = Vec::new();
                let _ = stream.read_to_end(&mut reply).await;
            });
            let received = runtime.block_on(read_events(address)).unwrap();
            prop_assert_eq!(&received[0].data, "fine");
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_body_makes_the_reader_of_json_panic() {
    let field = r#""(plan|models|request|route|stages|keys|attempt|Token|end)": ?(-?[0-9]{1,25}|"[a-z]{0,4}"|\[|\{|null|1e999)"#;
    let object = proptest::collection::vec(field, 0..5);
    let object = object.prop_map(|fields| format!("{{{}}}", fields.join(",")).into_bytes());
    let deep = (0..5_000_usize).prop_map(|depth| "[".repeat(depth).into_bytes());
    let bytes = prop_oneof![object, deep, proptest::collection::vec(any::<u8>(), 0..100)];
    test_runner(9, 2_000)
        .run(&bytes, |bytes| {
            let request = Request {
                arrived_at: Duration::ZERO,
                body: bytes.into(),
                headers: HeaderMap::new(),
                method: Method::POST,
                on_close: wire::CloseHandling::default(),
                path: "/".into(),
                peer: SocketAddr::from(([127, 0, 0, 1], 1)),
                query: String::new(),
            };
            let errors = [
                request.json::<Account>().err(),
                request.json::<GenerateRequest>().err(),
                request.json::<Plan>().err(),
                request.json::<StoreRequest>().err(),
                request.json::<StreamRecord>().err(),
            ];
            for error in errors.into_iter().flatten() {
                prop_assert!(error.to_string().starts_with("not the expected JSON: "));
            }
            Ok(())
        })
        .unwrap();
}
