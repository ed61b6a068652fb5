use super::*;

/// Time for which a departure is remembered after the target was last listed. The target's entry may
/// lapse and come back, and the target would then look as if it stayed.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// A target that announced in an answer that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Target that is leaving.
    pub id: TargetId,
    /// Incarnation that is leaving; a later one is not affected.
    pub incarnation: Incarnation,
}

/// Targets that announced that they are leaving, whether or not the list says so too.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Incarnation of each target that is leaving, and when it was last recorded or listed.
    known: HashMap<TargetId, (Incarnation, Duration)>,
}

impl Departures {
    /// Records that a target is leaving. Returns whether this is new.
    pub(crate) fn record(&mut self, now: Duration, departure: Departure) -> bool {
        let value = (departure.incarnation, now);
        let before = self.known.insert(departure.id, value);
        before.is_none_or(|(incarnation, _)| incarnation != departure.incarnation)
    }

    /// Whether this incarnation of a target announced that it is leaving.
    pub(crate) fn contains(&self, id: &str, incarnation: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|(leaving, _)| *leaving == incarnation)
    }

    /// Removes targets that have not been listed for `RETENTION_TIME`.
    pub(crate) fn expire(&mut self, now: Duration, is_listed: impl Fn(&TargetId) -> bool) {
        self.known.retain(|id, (_, at)| {
            if is_listed(id) {
                *at = now;
            }
            now.saturating_sub(*at) < RETENTION_TIME
        });
    }
}
