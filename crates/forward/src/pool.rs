use super::*;

/// Share of a target's own idle limit for which a connection is used, so that a request does not
/// cross the target's close.
const IDLE_SHARE: f64 = 0.7;

/// Open connections to targets that wait for the next request.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<TargetId, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When it must no longer be used.
    ends_at: Duration,
}

impl Pool {
    /// Takes the connection that was used last, or opens one.
    ///
    /// # Errors
    ///
    /// Returns `wire::Error::Connect` when none is made within `limit`.
    pub(crate) async fn take(
        &self,
        stage: &Stage,
        limit: Duration,
    ) -> Result<Connection, wire::Error> {
        if let Some(connection) = self.take_idle(&stage.id) {
            return Ok(connection);
        }
        metrics::counter!("forward_connections_total").increment(1);
        Connection::open(stage.address, limit).await
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, target: &TargetId, connection: Connection, idle_limit: Duration) {
        if !connection.is_open() {
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

    /// Closes the idle connections of targets that are not listed any more.
    pub fn retain_listed(&self, is_listed: impl Fn(&TargetId) -> bool) {
        let now = clock::now();
        self.lock().retain(|target, list| {
            list.retain(|idle| idle.ends_at > now && idle.connection.is_open());
            !list.is_empty() && is_listed(target)
        });
    }

    /// Closes the idle connections of one target.
    pub(crate) fn close(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    fn take_idle(&self, target: &TargetId) -> Option<Connection> {
        let now = clock::now();
        let mut map = self.lock();
        let list = map.get_mut(target)?;
        while let Some(idle) = list.pop() {
            if idle.ends_at > now && idle.connection.is_open() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
