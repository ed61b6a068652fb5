use super::*;

/// Time without a sign of activity after which an instance is considered dead. It exceeds both the
/// age at which a relay reports descendants and the time needed to switch to another source.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for which a departure is remembered. It exceeds the time during which outdated reports of
/// other instances may still list the departed instance as live.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(10);

/// Data that an instance reports about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRow {
    /// Address at which the instance accepts requests.
    pub address: SocketAddr,
    /// Capacity for answering queries of other instances, in thousandths of a core; lower on a slow
    /// link.
    pub capacity: u32,
    /// Failure domain in which the instance runs.
    pub domain: Arc<str>,
    /// Instance id, which stays the same after a restart.
    pub id: Arc<str>,
    /// Address at which the instance receives queries of other instances.
    pub relay_address: SocketAddr,
    /// Start id, which differs after each restart.
    pub start: Arc<str>,
}

impl InstanceRow {
    /// Entry for the list of instances that callers receive.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance {
            address: self.address,
            domain: self.domain.clone(),
            id: self.id.clone(),
        }
    }
}

/// Report of one instance about another one, sent to the parent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// Time since the reported instance's last sign of activity or, if it is leaving, since its
    /// departure.
    pub age: Duration,
    /// Whether the reported instance is leaving.
    pub is_leaving: bool,
    /// Data that the reported instance sent about itself.
    pub row: InstanceRow,
}

/// Tracks the instances that queried this one or were reported to it, with their last signs of
/// activity.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Number of times that an instance joined or left.
    change_count: u64,
    /// List of instances received from another instance, and the time at which it was built.
    received_list: Option<(Vec<Instance>, Duration)>,
    /// Departed instances by start id, with the time of departure.
    departed: HashMap<Arc<str>, (InstanceRow, Duration)>,
    /// Rows by instance id, with the time of the last sign of activity.
    rows: HashMap<Arc<str>, (InstanceRow, Duration)>,
}

impl Membership {
    /// Records that an instance was active at `at`.
    pub fn record_contact(&mut self, at: Duration, row: InstanceRow) {
        if self.departed.contains_key(&row.start) {
            return;
        }
        if let Some((known, seen_at)) = self.rows.get_mut(&row.id) {
            if known.start == row.start {
                *seen_at = at.max(*seen_at);
                return;
            }
            // An outdated report about a previous start.
            if at < *seen_at {
                return;
            }
        }
        self.change_count += 1;
        self.rows.insert(row.id.clone(), (row, at));
    }

    /// Records that an instance is leaving.
    pub fn record_departure(&mut self, now: Duration, row: &InstanceRow) {
        if self.departed.contains_key(&row.start) {
            return;
        }
        self.change_count += 1;
        self.departed.insert(row.start.clone(), (row.clone(), now));
        let is_same_start = |known: &(InstanceRow, Duration)| known.0.start == row.start;
        if self.rows.get(&row.id).is_some_and(is_same_start) {
            self.rows.remove(&row.id);
        }
        if let Some((received_list, _)) = &mut self.received_list {
            received_list.retain(|instance| instance.id != row.id);
        }
    }

    /// Applies the reports of another instance about its descendants.
    pub fn apply_reports(&mut self, now: Duration, reports: Vec<MemberReport>) {
        for report in reports {
            if report.is_leaving {
                self.record_departure(now, &report.row);
            } else {
                self.record_contact(now.saturating_sub(report.age), report.row);
            }
        }
    }

    /// Reports about descendants to send to the parent. Removes entries that have expired.
    pub fn reports(&mut self, now: Duration) -> Vec<MemberReport> {
        self.remove_expired(now);
        let mut reports = Vec::new();
        for (row, seen_at) in self.rows.values() {
            reports.push(MemberReport {
                age: now.saturating_sub(*seen_at),
                is_leaving: false,
                row: row.clone(),
            });
        }
        for (row, left_at) in self.departed.values() {
            let age = now.saturating_sub(*left_at);
            if age > LIVENESS_TIMEOUT {
                continue;
            }
            reports.push(MemberReport {
                age,
                is_leaving: true,
                row: row.clone(),
            });
        }
        reports
    }

    /// Number of times that an instance joined or left.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Stores the list of another instance, which was built at `built_at`. The list expires like a
    /// sign of activity, so that instances that query each other do not keep dead ones listed.
    pub fn set_received_list(&mut self, instances: Vec<Instance>, built_at: Duration) {
        let is_older = |(_, known): &(Vec<Instance>, Duration)| *known > built_at;
        if self.received_list.as_ref().is_some_and(is_older) {
            return;
        }
        let ids: HashSet<Arc<str>> = self
            .departed
            .values()
            .map(|(row, _)| row.id.clone())
            .collect();
        let has_departed = |instance: &Instance| {
            ids.contains(&instance.id) && !self.rows.contains_key(&instance.id)
        };
        let instances = instances.into_iter().filter(|one| !has_departed(one));
        self.received_list = Some((instances.collect(), built_at));
    }

    /// Instances that callers may use, ordered by id.
    #[must_use]
    pub fn live(&self, now: Duration) -> Vec<Instance> {
        let mut live: BTreeMap<Arc<str>, Instance> = BTreeMap::new();
        if let Some((received_list, built_at)) = &self.received_list
            && now.saturating_sub(*built_at) <= LIVENESS_TIMEOUT
        {
            for instance in received_list {
                live.insert(instance.id.clone(), instance.clone());
            }
        }
        for row in self.live_rows(now) {
            live.insert(row.id.clone(), row.instance());
        }
        live.into_values().collect()
    }

    /// Time since the last sign of activity of an instance that was reported; none if it was not.
    #[must_use]
    pub fn silence(&self, now: Duration, id: &str) -> Option<Duration> {
        let (_, seen_at) = self.rows.get(id)?;
        Some(now.saturating_sub(*seen_at))
    }

    /// Whether any other instance is live.
    #[must_use]
    pub fn knows_others(&self, now: Duration) -> bool {
        let is_live = |at: Duration| now.saturating_sub(at) <= LIVENESS_TIMEOUT;
        let received = self.received_list.as_ref();
        // The received list contains this instance too.
        self.rows.values().any(|(_, seen_at)| is_live(*seen_at))
            || received.is_some_and(|(list, built_at)| list.len() > 1 && is_live(*built_at))
    }

    /// Rows of live instances, ordered by id.
    #[must_use]
    pub fn live_rows(&self, now: Duration) -> Vec<&InstanceRow> {
        let mut live = Vec::new();
        for (row, seen_at) in self.rows.values() {
            if now.saturating_sub(*seen_at) <= LIVENESS_TIMEOUT {
                live.push(row);
            }
        }
        live.sort_by(|one, other| one.id.cmp(&other.id));
        live
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_kept = |at: Duration, limit| now.saturating_sub(at) <= limit;
        self.rows
            .retain(|_, (_, at)| is_kept(*at, LIVENESS_TIMEOUT));
        self.departed
            .retain(|_, (_, at)| is_kept(*at, DEPARTURE_RETENTION));
    }
}
