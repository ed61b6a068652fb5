use super::*;

/// Share of the idle limit of a target after which a connection is no longer used, so that a request is
/// not sent while the target closes the connection.
const IDLE_SHARE: f64 = 0.7;
/// Requests after which a connection is closed. It keeps a hash of 8 bytes for each of them.
const MAX_CONNECTION_REQUESTS: u32 = 4_096;

/// Idle keep-alive connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    /// By target, whose key changes when it restarts.
    idle: Mutex<HashMap<TargetKey, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When it expires and must no longer be used.
    ends_at: Duration,
}

impl Pool {
    /// Stores an idle connection. Its last answer must have been read to the end.
    pub(crate) fn put(&self, target: TargetKey, connection: Connection, idle_limit: Duration) {
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
        let list = map.entry(target).or_default();
        list.retain(|idle| idle.ends_at > now && idle.connection.is_open());
        list.push(idle);
    }

    /// Closes expired connections and all connections to targets that are no longer listed.
    pub fn retain_listed(&self, is_listed: impl Fn(TargetKey) -> bool) {
        let now = clock::now();
        self.lock().retain(|target, list| {
            list.retain(|idle| idle.ends_at > now && idle.connection.is_open());
            !list.is_empty() && is_listed(*target)
        });
    }

    /// Closes the idle connections to one target.
    pub(crate) fn close(&self, target: TargetKey) {
        self.lock().remove(&target);
    }

    /// Returns the most recently used idle connection that has not carried the request before.
    pub(crate) fn take_idle(&self, stage: &Stage, request: &RequestId) -> Option<Connection> {
        let now = clock::now();
        let mut map = self.lock();
        let list = map.get_mut(&stage.key)?;
        for position in (0..list.len()).rev() {
            let idle = &list[position];
            let is_at_address = idle.connection.address() == stage.address;
            if idle.ends_at <= now || !idle.connection.is_open() || !is_at_address {
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

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
