use super::*;

/// Time without a change of its row after which an instance is taken as dead: three missed beats.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Row of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRow {
    /// Number of the beat.
    pub beat_count: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Id, which is the same after a restart.
    pub id: Arc<str>,
    /// Where it takes calls of other instances.
    pub relay_address: SocketAddr,
    /// Id of this start.
    pub start: Arc<str>,
}

/// Instances whose rows change.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Rows with the time at which their present content was first seen.
    rows: HashMap<Arc<str>, (InstanceRow, Duration)>,
    /// Version of the leader's row whose list was taken over last.
    vouched_version: u64,
}

impl Membership {
    /// Notes all rows.
    pub fn observe(&mut self, now: Duration, rows: Vec<InstanceRow>) {
        let mut next = HashMap::new();
        for row in rows {
            let seen_at = match self.rows.remove(&row.id) {
                Some((old, seen_at)) if old == row => seen_at,
                _ => now,
            };
            next.insert(row.id.clone(), (row, seen_at));
        }
        self.rows = next;
    }

    /// Notes that an instance called this one.
    pub fn contacted(&mut self, now: Duration, row: InstanceRow) {
        let known = self.rows.get_mut(&row.id);
        if let Some((_, seen_at)) = known.filter(|(known, _)| known.start == row.start) {
            *seen_at = now;
            return;
        }
        self.rows.insert(row.id.clone(), (row, now));
    }

    /// Notes the instances that the leader knows to live, by the version of its row. Instances that
    /// the leader serves do not write rows of their own.
    pub fn vouched(&mut self, now: Duration, live: &[Arc<str>], version: u64) {
        if version == self.vouched_version {
            return;
        }
        self.vouched_version = version;
        for id in live {
            if let Some((_, seen_at)) = self.rows.get_mut(id) {
                *seen_at = now;
            }
        }
    }

    /// Notes that an instance is leaving.
    pub fn left(&mut self, id: &str) {
        self.rows.remove(id);
    }

    /// Where the instance with this start takes calls of others.
    #[must_use]
    pub fn relay_address(&self, start: &str) -> Option<SocketAddr> {
        let mut rows = self.rows.values();
        let found = rows.find(|(row, _)| &*row.start == start);
        found.map(|(row, _)| row.relay_address)
    }

    /// Instances that callers may use, in the order of their ids.
    #[must_use]
    pub fn live(&self, now: Duration) -> Vec<Instance> {
        let mut live = Vec::new();
        for (row, seen_at) in self.rows.values() {
            if now.saturating_sub(*seen_at) > SILENCE {
                continue;
            }
            live.push(Instance {
                address: row.address,
                domain: row.domain.clone(),
                id: row.id.clone(),
            });
        }
        live.sort_by(|one, other| one.id.cmp(&other.id));
        live
    }
}
