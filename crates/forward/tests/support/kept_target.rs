//! Fake target that writes raw bytes in reply to the requests of kept connections.

use {
    super::{TestTarget, raw_target::raw_target},
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
    tracing_mutex::stdsync::Mutex,
};

/// Bytes that a target writes after it has received a request.
#[derive(Clone, Debug, Default)]
pub struct Script {
    closes: bool,
    writes: Vec<(Duration, String)>,
}

impl Script {
    /// Writes bytes without delay.
    pub fn at_once(bytes: impl Into<String>) -> Self {
        Self::default().then(Duration::ZERO, bytes)
    }

    /// Writes further bytes after a delay.
    pub fn then(mut self, delay: Duration, bytes: impl Into<String>) -> Self {
        self.writes.push((delay, bytes.into()));
        self
    }

    /// Closes the connection at the end.
    pub fn close(self) -> Self {
        Self {
            closes: true,
            ..self
        }
    }
}

/// Running target.
pub struct KeptTarget {
    /// Ids of the requests that it has received, by connection.
    pub connections: Arc<Mutex<Vec<Vec<String>>>>,
    pub target: TestTarget,
}

impl KeptTarget {
    pub fn ids(&self) -> Vec<String> {
        self.connections.lock().unwrap().concat()
    }

    pub fn connection_count(&self) -> usize {
        self.connections.lock().unwrap().len()
    }
}

/// Starts a target. `script` gets the ids of the requests that its connection has received, the current one
/// last.
pub async fn kept_target<F>(script: F) -> KeptTarget
where
    F: Fn(&[String]) -> Script + Clone + Send + Sync + 'static,
{
    let connections: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let log = connections.clone();
    let target = raw_target(move |stream| {
        let (log, script) = (log.clone(), script.clone());
        async move { serve(stream, log, script).await }
    })
    .await;
    KeptTarget {
        connections,
        target,
    }
}

async fn serve<F>(mut stream: TcpStream, log: Arc<Mutex<Vec<Vec<String>>>>, script: F)
where
    F: Fn(&[String]) -> Script,
{
    let number = {
        let mut log = log.lock().unwrap();
        log.push(Vec::new());
        log.len() - 1
    };
    let mut buffer = vec![0; 16 * 1024];
    loop {
        // Requests are short enough to arrive in a single read.
        let count = stream.read(&mut buffer).await.unwrap_or_default();
        if count == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
        let ids = {
            let mut log = log.lock().unwrap();
            log[number].push(id.unwrap_or_default().into());
            log[number].clone()
        };
        let script = script(&ids);
        for (delay, bytes) in script.writes {
            sleep(delay).await;
            if stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
        }
        if script.closes {
            return;
        }
    }
}

/// Reply by which a target promises that it has not run request `id`. `headers` are complete lines.
pub fn refusal(id: &str, headers: &str) -> String {
    reply(
        "503 Service Unavailable",
        id,
        &format!("x-not-run: 1\r\n{headers}"),
        "full",
    )
}

/// Complete reply to request `id`.
pub fn success(id: &str, body: &str) -> String {
    reply("200 OK", id, "x-signature: s\r\n", body)
}

/// Reply with a length. `headers` are complete lines.
pub fn reply(status: &str, id: &str, headers: &str, body: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("x-id: {id}\r\n"),
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}{headers}content-length: {length}\r\n\r\n{body}")
}
