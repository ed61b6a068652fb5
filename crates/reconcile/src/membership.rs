use super::*;

/// Time without a sign of activity after which an instance is taken as dead: three missed beats.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Row of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRow {
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

/// Instances that showed a sign of activity.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Rows with the time of the last sign of activity.
    rows: HashMap<Arc<str>, (InstanceRow, Duration)>,
}

impl Membership {
    /// Notes all rows with the times since they were written.
    pub fn observe(&mut self, now: Duration, rows: Vec<(InstanceRow, Duration)>) {
        let mut next = HashMap::new();
        for (row, age) in rows {
            let mut seen_at = now.saturating_sub(age);
            if let Some((known, known_at)) = self.rows.remove(&row.id)
                && known.start == row.start
            {
                seen_at = seen_at.max(known_at);
            }
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

    /// Notes the instances that the leader knew to live at `at`. Those that it serves do not renew
    /// their own rows. The leader must not take over its own list, or dead instances would live on
    /// in it.
    pub fn confirmed(&mut self, at: Duration, live: &[Arc<str>]) {
        for id in live {
            if let Some((_, seen_at)) = self.rows.get_mut(id) {
                *seen_at = at.max(*seen_at);
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
