use super::*;

/// Time for which a target that said that it leaves is remembered after it was listed last. Its entry
/// may lapse and come back.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// A target that said in an answer that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Target.
    pub id: TargetId,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// Targets that said that they leave, whatever the list says of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Which start of each target leaves, and when it was noted or listed last.
    known: HashMap<TargetId, (Incarnation, Duration)>,
}

impl Departures {
    /// Notes that a target leaves. Returns whether that was not known.
    pub(crate) fn record(&mut self, now: Duration, departure: Departure) -> bool {
        let value = (departure.incarnation, now);
        let before = self.known.insert(departure.id, value);
        before.is_none_or(|(incarnation, _)| incarnation != departure.incarnation)
    }

    /// Whether this start of a target said that it leaves.
    pub(crate) fn contains(&self, id: &str, incarnation: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|(leaving, _)| *leaving == incarnation)
    }

    /// Forgets targets that have not been listed for long.
    pub(crate) fn expire(&mut self, now: Duration, is_listed: impl Fn(&TargetId) -> bool) {
        self.known.retain(|id, (_, at)| {
            if is_listed(id) {
                *at = now;
            }
            now.saturating_sub(*at) < RETENTION_TIME
        });
    }
}
