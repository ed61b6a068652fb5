use super::*;

/// Running and waiting work at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LoadLevel {
    pub(crate) running_count: u32,
    pub(crate) waiting_count: u32,
}

/// Level of work, with enough history for reports that lag.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    history: VecDeque<(Instant, LoadLevel)>,
    lag: Duration,
    level: LoadLevel,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            history: VecDeque::new(),
            lag,
            level: LoadLevel::default(),
        }
    }

    pub(crate) fn level(&self) -> LoadLevel {
        self.level
    }

    pub(crate) fn set(&mut self, now: Instant, level: LoadLevel) {
        self.level = level;
        self.history.push_back((now, level));
        self.prune(now);
    }

    /// Level as it was one lag ago.
    pub(crate) fn reported(&mut self, now: Instant) -> LoadLevel {
        self.prune(now);
        match self.history.front() {
            Some((at, level)) if now.duration_since(*at) >= self.lag => *level,
            _ => LoadLevel::default(),
        }
    }

    /// Drops all but the newest entry that is at least one lag old.
    fn prune(&mut self, now: Instant) {
        while let Some((at, _)) = self.history.get(1) {
            if now.duration_since(*at) < self.lag {
                return;
            }
            self.history.pop_front();
        }
    }
}
