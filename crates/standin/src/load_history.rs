use super::*;

/// Number of running and waiting requests at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LoadLevel {
    pub(crate) running_count: u32,
    pub(crate) waiting_count: u32,
}

/// Current load, with enough history to report it with a delay.
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

    /// Load as it was `lag` ago; zero before the first entry of that age.
    pub(crate) fn reported(&mut self, now: Instant) -> LoadLevel {
        self.prune(now);
        match self.history.front() {
            Some((at, level)) if now.duration_since(*at) >= self.lag => *level,
            _ => LoadLevel::default(),
        }
    }

    /// Drops entries that are older than the newest one of at least the age `lag`.
    fn prune(&mut self, now: Instant) {
        while let Some((at, _)) = self.history.get(1) {
            if now.duration_since(*at) < self.lag {
                return;
            }
            self.history.pop_front();
        }
    }
}
