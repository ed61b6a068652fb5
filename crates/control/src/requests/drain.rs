use super::*;

/// Graceful shutdown of this instance.
#[derive(Clone, Debug)]
pub struct Drain {
    is_stopped: bool,
    settings: DrainSettings,
    started_at: Option<Duration>,
}

impl Drain {
    /// Creates the state of an instance that is not asked to stop.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            is_stopped: false,
            settings,
            started_at: None,
        }
    }

    /// Whether the process may stop now; true once. Callers use addresses that they were given
    /// for the time to live, and peers give out this one until they have the notice of leaving.
    pub fn should_stop(&mut self, now: Duration, is_idle: bool) -> bool {
        let wait_ms = self.settings.address_ttl_ms + self.settings.notice_ms;
        let Some(started_at) = self.started_at else {
            return false;
        };
        let has_waited = now >= started_at + Duration::from_millis(wait_ms);
        if self.is_stopped || !has_waited || !is_idle {
            return false;
        }
        self.is_stopped = true;
        true
    }

    /// Whether the instance is asked to stop.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Starts; a second start changes nothing.
    pub fn start(&mut self, now: Duration) {
        self.started_at.get_or_insert(now);
    }
}
