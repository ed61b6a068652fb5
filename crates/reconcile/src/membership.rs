use super::*;

/// Time without a sign of activity after which an instance is taken as dead: three missed beats.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Instances that stand in for the leader. With three of different failure domains, one is left when two
/// domains are lost.
const STAND_IN_COUNT: usize = 3;

/// Instances that read the stores for those that start with them while there is no leader.
const FIRST_COUNT: usize = 2;

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

impl InstanceRow {
    /// The instance as callers are told of it.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance {
            address: self.address,
            domain: self.domain.clone(),
            id: self.id.clone(),
        }
    }
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

    /// Where those take calls of others that stand in for the leader `own` when it is lost: other live
    /// instances, as far as possible of different failure domains.
    #[must_use]
    pub fn stand_ins(&self, now: Duration, own: &InstanceRow) -> Vec<SocketAddr> {
        let mut live = self.live_rows(now);
        live.retain(|row| row.id != own.id);
        let mut domains = HashSet::from([&own.domain]);
        let (first, last): (Vec<&InstanceRow>, Vec<&InstanceRow>) = live
            .into_iter()
            .partition(|row| domains.insert(&row.domain));
        let stand_ins = first.into_iter().chain(last).take(STAND_IN_COUNT);
        stand_ins.map(|row| row.relay_address).collect()
    }

    /// Where the first live instances take calls of others, by the order of ids and only before `own`.
    #[must_use]
    pub fn first_before(&self, now: Duration, own: &InstanceRow) -> Vec<SocketAddr> {
        let live = self.live_rows(now).into_iter();
        let before = live.take_while(|row| row.id < own.id);
        before
            .take(FIRST_COUNT)
            .map(|row| row.relay_address)
            .collect()
    }

    /// Instances that callers may use, in the order of their ids.
    #[must_use]
    pub fn live(&self, now: Duration) -> Vec<Instance> {
        let live = self.live_rows(now).into_iter();
        live.map(InstanceRow::instance).collect()
    }

    /// Rows of live instances, in the order of their ids.
    fn live_rows(&self, now: Duration) -> Vec<&InstanceRow> {
        let mut live = Vec::new();
        for (row, seen_at) in self.rows.values() {
            if now.saturating_sub(*seen_at) <= SILENCE {
                live.push(row);
            }
        }
        live.sort_by(|one, other| one.id.cmp(&other.id));
        live
    }
}
