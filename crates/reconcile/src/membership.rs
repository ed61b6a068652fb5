use super::*;

/// Time without a change of its row after which an instance is taken as dead: three missed beats.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Row of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceRow {
    /// Number of the beat.
    pub beat_count: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Id, which is the same after a restart.
    pub id: Arc<str>,
    /// Id of this start.
    pub start: Arc<str>,
}

/// Instances whose rows change.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Rows with the time at which their present content was first seen.
    rows: HashMap<Arc<str>, (InstanceRow, Duration)>,
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
