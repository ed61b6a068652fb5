use super::*;

/// Time without a sign of activity after which an instance is considered dead. It exceeds both the
/// age at which a relay reports descendants and the time needed to switch to another source.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for which a departure is remembered. It exceeds the time during which outdated reports of
/// other instances may still list the departed instance as live.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(10);
/// Largest error of the time between a sign of activity and a departure that arrived by different paths: an
/// answer takes up to 300 ms, and may pass through two instances.
const DEPARTURE_ERROR: Duration = Duration::from_millis(600);
/// Time without a sign of activity after which an instance is asked for one. Reports over a relay are up to 2 s old
/// while all is well.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_400);
/// Number of questions without an answer after which lists without times of last activity no longer count for an
/// instance.
const MAX_UNANSWERED_COUNT: u32 = 2;

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

/// Instance that another instance listed.
#[derive(Clone, Debug)]
struct ListedInstance {
    instance: Instance,
    /// Time of the last sign of activity, or an earlier time.
    seen_at: Duration,
}

/// List of instances in the answer of another instance.
#[derive(Clone, Debug)]
pub struct ReceivedInstances {
    /// Time since the list was built. Not used together with `signs`.
    pub age: Duration,
    /// Time of the answer, or an earlier time.
    pub answered_at: Duration,
    /// Listed instances, which may include the receiving one.
    pub instances: Vec<Instance>,
    /// Times of last activity; none if the sender is of an earlier version, which does not tell them.
    pub signs: Option<InstanceSigns>,
}

/// Tracks the instances that queried this one, were reported to it or were listed by others, with their last
/// signs of activity.
///
/// Invariant: a time of last activity is never later than the last activity itself, through however many
/// instances it was passed on. So an instance that is lost is dropped `LIVENESS_TIMEOUT` later at most, in any
/// series of sources.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Number of times that an instance joined or left.
    change_count: u64,
    /// Departed instances by start id, with the time of departure.
    departed: HashMap<Arc<str>, (InstanceRow, Duration)>,
    /// Start ids of departed instances by instance id, with the time of departure or an earlier time.
    departures: HashMap<Arc<str>, (Arc<str>, Duration)>,
    /// Instances listed by others, by instance id.
    listed: HashMap<Arc<str>, ListedInstance>,
    /// Rows by instance id, with the time of the last sign of activity.
    rows: HashMap<Arc<str>, (InstanceRow, Duration)>,
    /// Number of questions without an answer since the last sign of activity, by instance id, with the time of the last
    /// one.
    unanswered: HashMap<Arc<str>, (u32, Duration)>,
}

impl Membership {
    /// Records that an instance was active at `at`.
    pub fn record_contact(&mut self, at: Duration, row: InstanceRow) {
        if self.departed.contains_key(&row.start) {
            return;
        }
        self.forget_unanswered(&row.id, at);
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

    /// Records that an instance left at `at`.
    pub fn record_departure(&mut self, at: Duration, row: &InstanceRow) {
        if self.departed.contains_key(&row.start) {
            return;
        }
        self.change_count += 1;
        self.departed.insert(row.start.clone(), (row.clone(), at));
        self.end_start(&row.id, &row.start, at);
    }

    /// Drops the signs of activity of a departed instance, but not those of its next start.
    fn end_start(&mut self, id: &Arc<str>, start: &Arc<str>, left_at: Duration) {
        let known = self.departures.get(id);
        if known.is_some_and(|(_, known_at)| *known_at >= left_at) {
            return;
        }
        self.departures.insert(id.clone(), (start.clone(), left_at));
        if self
            .rows
            .get(id)
            .is_some_and(|(row, _)| row.start == *start)
        {
            self.change_count += 1;
            self.rows.remove(id);
        }
        let departures = &self.departures;
        self.listed
            .retain(|id, listed| !has_departed(departures, id, listed.seen_at));
    }

    /// Applies the reports of another instance about its descendants.
    pub fn apply_reports(&mut self, now: Duration, reports: Vec<MemberReport>) {
        for report in reports {
            let at = now.saturating_sub(report.age);
            if report.is_leaving {
                self.record_departure(at, &report.row);
            } else {
                self.record_contact(at, report.row);
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

    /// Merges a list that the instance `own` received.
    pub fn merge_received(&mut self, own: &Arc<str>, mut list: ReceivedInstances) {
        let Some(signs) = list.signs else {
            list.instances.retain(|instance| instance.id != *own);
            let built_at = list.answered_at.saturating_sub(list.age);
            self.replace_undated_list(list.instances, built_at);
            return;
        };
        self.merge_departures(list.answered_at, &signs.departures);
        let dated = list.instances.into_iter().zip(signs.ages);
        let others = dated.filter(|(instance, _)| instance.id != *own);
        self.merge_listed(
            others
                .map(|(instance, age)| (instance, list.answered_at.saturating_sub(age.duration()))),
        );
    }

    /// Adds the instances that another instance listed, each with the time of its last activity, or an earlier
    /// time.
    pub fn merge_listed(&mut self, instances: impl IntoIterator<Item = (Instance, Duration)>) {
        for (instance, seen_at) in instances {
            if has_departed(&self.departures, &instance.id, seen_at) {
                continue;
            }
            self.forget_unanswered(&instance.id, seen_at);
            let known = self.listed.get(&instance.id);
            if known.is_some_and(|known| known.seen_at >= seen_at) {
                continue;
            }
            let listed = ListedInstance { instance, seen_at };
            self.listed.insert(listed.instance.id.clone(), listed);
        }
    }

    /// Records that an instance did not answer a question of `at`.
    pub fn record_unanswered(&mut self, at: Duration, id: &Arc<str>) {
        let (count, asked_at) = self.unanswered.entry(id.clone()).or_default();
        *count += 1;
        *asked_at = at;
    }

    /// Forgets questions without an answer if a sign of activity is newer.
    fn forget_unanswered(&mut self, id: &Arc<str>, seen_at: Duration) {
        let unanswered = self.unanswered.get(id);
        if unanswered.is_some_and(|(_, asked_at)| seen_at > *asked_at) {
            self.unanswered.remove(id);
        }
    }

    /// Stores a list that does not tell when its instances were active, as earlier versions send it. It was built
    /// at `built_at`. Instances that it leaves out have left or are lost.
    ///
    /// Its entries count as silent, so that this instance asks them. Once they do not answer, the list no longer counts
    /// for them, whatever its sender goes on from.
    pub fn replace_undated_list(&mut self, instances: Vec<Instance>, built_at: Duration) {
        let ids: HashSet<Arc<str>> = instances.iter().map(|one| one.id.clone()).collect();
        self.listed
            .retain(|id, listed| ids.contains(id) || listed.seen_at > built_at);
        let seen_at = built_at.saturating_sub(SILENCE_LIMIT);
        for instance in instances {
            let unanswered = self.unanswered.get(&instance.id);
            if unanswered.is_some_and(|(count, _)| *count >= MAX_UNANSWERED_COUNT) {
                continue;
            }
            self.merge_listed([(instance, seen_at)]);
        }
    }

    /// Records the departures that another instance knows.
    pub fn merge_departures(&mut self, now: Duration, departures: &[InstanceDeparture]) {
        for departure in departures {
            let left_at = now.saturating_sub(departure.age.duration());
            self.end_start(&departure.id, &departure.start, left_at);
        }
    }

    /// Departures that other instances may not know yet.
    #[must_use]
    pub fn recent_departures(&self, now: Duration) -> Vec<InstanceDeparture> {
        let mut recent = Vec::new();
        for (id, (start, left_at)) in &self.departures {
            let age = now.saturating_sub(*left_at);
            if age > LIVENESS_TIMEOUT {
                continue;
            }
            recent.push(InstanceDeparture {
                age: SignAge::from(age),
                id: id.clone(),
                start: start.clone(),
            });
        }
        recent
    }

    /// Instances that callers may use, ordered by id.
    #[must_use]
    pub fn live(&self, now: Duration) -> Vec<Instance> {
        let mut live: BTreeMap<&Arc<str>, (Instance, Duration)> = BTreeMap::new();
        for (id, listed) in &self.listed {
            if is_live(now, listed.seen_at) {
                live.insert(id, (listed.instance.clone(), listed.seen_at));
            }
        }
        for (id, (row, seen_at)) in &self.rows {
            let known_at = live.get(id).map(|(_, known_at)| *known_at);
            if is_live(now, *seen_at) && known_at.is_none_or(|known_at| known_at <= *seen_at) {
                live.insert(id, (row.instance(), *seen_at));
            }
        }
        live.into_values().map(|(instance, _)| instance).collect()
    }

    /// Time since the last known sign of activity of an instance; none if there was none.
    #[must_use]
    pub fn silence(&self, now: Duration, id: &str) -> Option<Duration> {
        let reported = self.rows.get(id).map(|(_, seen_at)| *seen_at);
        let listed = self.listed.get(id).map(|listed| listed.seen_at);
        let seen_at = reported.max(listed)?;
        Some(now.saturating_sub(seen_at))
    }

    /// Live instances that are to be asked for a sign of activity, ordered by id.
    #[must_use]
    pub fn silent(&self, now: Duration) -> Vec<Instance> {
        let mut silent = self.live(now);
        silent.retain(|instance| {
            let silence = self.silence(now, &instance.id);
            silence.is_some_and(|silence| silence > SILENCE_LIMIT)
        });
        silent
    }

    /// Whether any other instance is live.
    #[must_use]
    pub fn knows_others(&self, now: Duration) -> bool {
        let mut listed = self.listed.values();
        self.rows
            .values()
            .any(|(_, seen_at)| is_live(now, *seen_at))
            || listed.any(|listed| is_live(now, listed.seen_at))
    }

    /// Rows of live instances, ordered by id.
    #[must_use]
    pub fn live_rows(&self, now: Duration) -> Vec<&InstanceRow> {
        let mut live = Vec::new();
        for (row, seen_at) in self.rows.values() {
            if is_live(now, *seen_at) {
                live.push(row);
            }
        }
        live.sort_by(|one, other| one.id.cmp(&other.id));
        live
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Duration) {
        let is_kept = |at: Duration, limit| now.saturating_sub(at) <= limit;
        self.rows.retain(|_, (_, at)| is_live(now, *at));
        self.listed.retain(|_, listed| is_live(now, listed.seen_at));
        self.departed
            .retain(|_, (_, at)| is_kept(*at, DEPARTURE_RETENTION));
        self.departures
            .retain(|_, (_, at)| is_kept(*at, DEPARTURE_RETENTION));
        self.unanswered
            .retain(|_, (_, at)| is_kept(*at, DEPARTURE_RETENTION));
    }
}

/// Whether an instance whose last sign of activity was at `seen_at` is considered live.
fn is_live(now: Duration, seen_at: Duration) -> bool {
    now.saturating_sub(seen_at) <= LIVENESS_TIMEOUT
}

/// Whether an instance has departed since a sign of activity that another instance passed on.
fn has_departed(
    departures: &HashMap<Arc<str>, (Arc<str>, Duration)>,
    id: &Arc<str>,
    seen_at: Duration,
) -> bool {
    let departure = departures.get(id);
    departure.is_some_and(|(_, left_at)| seen_at <= *left_at + DEPARTURE_ERROR)
}
