use super::*;

/// Share of the idle limit of a target after which a connection is no longer used, so that a request is
/// not sent while the target closes the connection.
const IDLE_SHARE: f64 = 0.7;
/// Requests after which a connection is closed. It keeps a hash of 8 bytes for each of them.
const MAX_CONNECTION_REQUESTS: u32 = 4_096;

/// Idle keep-alive connections to targets.
#[derive(Debug)]
pub struct Pool {
    /// Header with the id of a request, which targets repeat in its answer.
    id_header: HeaderName,
    idle: Mutex<HashMap<TargetId, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When it expires and must no longer be used.
    ends_at: Duration,
}

impl Pool {
    pub(crate) fn new(id_header: HeaderName) -> Self {
        Self {
            id_header,
            idle: Mutex::default(),
        }
    }

    /// Returns the most recently used idle connection that has not carried the request before, or opens a new
    /// one.
    ///
    /// # Errors
    ///
    /// Returns `wire::Error::Connect` when no connection can be opened within `limit`.
    pub(crate) async fn take(
        &self,
        stage: &Stage,
        request: &RequestId,
        limit: Duration,
    ) -> Result<Connection, wire::Error> {
        if let Some(connection) = self.take_idle(&stage.id, request) {
            return Ok(connection);
        }
        self.open(stage, limit).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns `wire::Error::Connect` when no connection can be opened within `limit`.
    pub(crate) async fn open(
        &self,
        stage: &Stage,
        limit: Duration,
    ) -> Result<Connection, wire::Error> {
        metrics::counter!("forward_connections_total").increment(1);
        Connection::open_with_echo(stage.address, limit, self.id_header.clone()).await
    }

    /// Stores an idle connection. Its last answer must have been read to the end.
    pub(crate) fn put(&self, target: &TargetId, connection: Connection, idle_limit: Duration) {
        let request_count = connection.request_count();
        if !connection.is_open() || request_count >= MAX_CONNECTION_REQUESTS {
            return;
        }
        let now = clock::now();
        let idle = Idle {
            connection,
            ends_at: now + idle_limit.mul_f64(IDLE_SHARE),
        };
        let mut map = self.lock();
        let list = map.entry(target.clone()).or_default();
        list.retain(|idle| idle.ends_at > now && idle.connection.is_open());
        list.push(idle);
    }

    /// Closes expired connections and all connections to targets that are no longer listed.
    pub fn retain_listed(&self, is_listed: impl Fn(&TargetId) -> bool) {
        let now = clock::now();
        self.lock().retain(|target, list| {
            list.retain(|idle| idle.ends_at > now && idle.connection.is_open());
            !list.is_empty() && is_listed(target)
        });
    }

    /// Closes the idle connections to one target.
    pub(crate) fn close(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    fn take_idle(&self, target: &TargetId, request: &RequestId) -> Option<Connection> {
        let now = clock::now();
        let mut map = self.lock();
        let list = map.get_mut(target)?;
        for position in (0..list.len()).rev() {
            let idle = &list[position];
            if idle.ends_at <= now || !idle.connection.is_open() {
                list.remove(position);
                continue;
            }
            if idle.connection.has_carried(request) {
                continue;
            }
            return Some(list.remove(position).connection);
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
