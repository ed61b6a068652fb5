use super::*;

/// Settings of the forwarding of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// Wait for room.
    pub admission: AdmissionSettings,
    /// Longest answer of a plain service, in bytes. Answers are kept until they are complete, so that
    /// one that breaks off can be asked for again.
    pub max_answer_bytes: usize,
    /// Bytes of all answers together that are kept until they are complete. Targets in trouble may send
    /// bytes without end to many requests at once.
    pub max_buffered_bytes: usize,
    /// Longest age of the configuration with which keys are still accepted. Below the time within
    /// which a withdrawn key must be refused everywhere.
    pub max_catalog_age: Duration,
    /// Time to make a connection to a target in the same region.
    pub connect_limit: Duration,
    /// Repeated sends of one window that all instances together may add to the share of the
    /// requests.
    pub extra_retries: f64,
    /// Choice of targets.
    pub fleet: FleetSettings,
    /// Longest acceptable pause between two events, where the route names none.
    pub gap_goal: Duration,
    /// Failure domain of this instance.
    pub local_domain: Arc<str>,
    /// Longest time that a connection to a target is kept without use, where the target states no
    /// limit of its own.
    pub idle_limit: Duration,
    /// Requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Time in which an answer is on its way back to the caller; passed-on deadlines end earlier by
    /// this.
    pub deadline_margin: Duration,
    /// Share of the requests that may be sent a second time.
    pub retry_ratio: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Duration,
    /// Shortest time after which a refused caller is asked to come back.
    pub retry_after: Duration,
    /// Share of the route's goal for the first event in which a request must be sent to keep it.
    pub queue_goal_share: f64,
    /// Longest wait for room, as a multiple of the route's goal. Answers are worth less after the goal,
    /// and callers leave after a few times as long.
    pub max_wait_factor: f64,
    /// Share of the longest acceptable pause after which the engines of a stream that is usually
    /// faster are asked how they are. Low enough to move the stream within that pause.
    pub gap_probe_share: f64,
    /// Time without the first event after which engines are asked how they are, where the route has no
    /// goal.
    pub first_probe_delay: Duration,
    /// Share of the route's goal for the first event after which engines are asked how they are.
    pub first_probe_share: f64,
    /// Time without an event after which a stream whose engines are sound is sent again, as its
    /// connection may be dead. Callers leave after two seconds.
    pub stall_limit: Duration,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            max_answer_bytes: 8 * 1024 * 1024,
            max_buffered_bytes: 32 * 1024 * 1024,
            max_catalog_age: Duration::from_millis(4_500),
            connect_limit: Duration::from_millis(300),
            extra_retries: 100.0,
            fleet: FleetSettings::default(),
            gap_goal: Duration::from_millis(200),
            local_domain: Arc::from(""),
            idle_limit: Duration::from_secs(10),
            // A third crash shows that the first two were no coincidence; other failures also take away
            // several targets in a row.
            quarantine: QuarantineSettings {
                crash_count: 3,
                ..QuarantineSettings::default()
            },
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_after: Duration::from_millis(500),
            deadline_margin: Duration::from_millis(10),
            queue_goal_share: 0.6,
            max_wait_factor: 2.0,
            gap_probe_share: 0.45,
            first_probe_delay: Duration::from_millis(250),
            first_probe_share: 0.5,
            stall_limit: Duration::from_millis(1_200),
        }
    }
}
