use super::*;

/// Graceful shutdown of this instance.
#[derive(Clone, Debug)]
pub struct Drain {
    is_stopped: bool,
    settings: DrainSettings,
    started_at: Option<Duration>,
}

impl Drain {
    /// Creates the state of an instance that was not asked to stop.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            is_stopped: false,
            settings,
            started_at: None,
        }
    }

    /// Whether the process should stop now; true only once. Peers hand out this instance's address
    /// until they have its notice of leaving, and callers use it for its time to live. The process
    /// stops when both times have passed and no request is left.
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

    /// Whether the instance was asked to stop.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Starts the drain; has no effect if it was started before.
    pub fn start(&mut self, now: Duration) {
        self.started_at.get_or_insert(now);
    }
}
