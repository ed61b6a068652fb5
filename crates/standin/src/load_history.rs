use super::*;

/// Running and waiting work at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Level {
    pub(crate) running_count: u32,
    pub(crate) waiting_count: u32,
}

/// Level of work, with enough history for reports that lag.
#[derive(Debug)]
pub(crate) struct Gauge {
    history: VecDeque<(Instant, Level)>,
    lag: Duration,
    level: Level,
}

impl Gauge {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            history: VecDeque::new(),
            lag,
            level: Level::default(),
        }
    }

    pub(crate) fn level(&self) -> Level {
        self.level
    }

    pub(crate) fn set(&mut self, now: Instant, level: Level) {
        self.level = level;
        self.history.push_back((now, level));
        self.forget(now);
    }

    /// Level as it was one lag ago.
    pub(crate) fn reported(&mut self, now: Instant) -> Level {
        self.forget(now);
        match self.history.front() {
            Some((at, level)) if now.duration_since(*at) >= self.lag => *level,
            _ => Level::default(),
        }
    }

    /// Drops all but the newest entry that is at least one lag old.
    fn forget(&mut self, now: Instant) {
        while let Some((at, _)) = self.history.get(1) {
            if now.duration_since(*at) < self.lag {
                return;
            }
            self.history.pop_front();
        }
    }
}
