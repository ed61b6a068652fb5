use super::*;

/// Settings for forwarding requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// Queue of requests that wait for capacity.
    pub admission: AdmissionSettings,
    /// Largest answer of a plain service, in bytes. Answers are buffered until they are complete, so that
    /// the request can be sent again if the answer is interrupted.
    pub max_answer_bytes: usize,
    /// Limit for all buffered answers together, in bytes. Faulty targets may send endless bytes to many
    /// requests at once.
    pub max_buffered_bytes: usize,
    /// Maximum age of a configuration with which keys are still accepted. Below the time within which a
    /// revoked key must be refused everywhere.
    pub max_catalog_age: Duration,
    /// Timeout for opening a connection to a target in the same region.
    pub connect_timeout: Duration,
    /// Retries per window that all instances together may make in addition to those allowed by
    /// `retry_ratio`.
    pub extra_retries: f64,
    /// Selection of targets.
    pub fleet: FleetSettings,
    /// Longest acceptable pause between two events, for routes without a goal of their own.
    pub gap_goal: Duration,
    /// Id of this instance in the list of instances.
    pub instance_id: Arc<str>,
    /// Failure domain of this instance, which is preferred when a path is chosen.
    pub local_domain: Arc<str>,
    /// Time for which an idle connection to a target is kept if the target does not state a limit.
    pub idle_limit: Duration,
    /// Quarantine of parts of prompts that crash targets.
    pub prompt_parts: PartSettings,
    /// Quarantine of requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Time reserved for sending the answer back to the caller; deadlines that are forwarded to targets
    /// are shortened by it.
    pub deadline_margin: Duration,
    /// Time after the start without a share in the extra retries. An earlier start of this instance may have
    /// used it, and other instances may still divide them without this one. At least `retry_window` and the
    /// time that a changed list of instances needs to reach all of them.
    pub retry_hold: Duration,
    /// Ratio of retries to requests that the retry budget allows.
    pub retry_ratio: f64,
    /// Window over which the retry budget counts requests and retries.
    pub retry_window: Duration,
    /// Minimum time after which a refused caller is asked to retry.
    pub retry_after: Duration,
    /// Share of the route's goal for the first event within which a request must leave the queue to meet
    /// that goal.
    pub queue_goal_share: f64,
    /// Longest wait for capacity, as a multiple of the route's goal for the first event. Answers are worth
    /// less after the goal, and callers give up after a few times as long.
    pub max_wait_factor: f64,
    /// Share of the longest acceptable pause after which the engines of a stream that is usually faster are
    /// probed. Low enough that the stream can be moved to another path within that pause.
    pub gap_probe_share: f64,
    /// Time without a first event after which engines are probed, for routes without a latency goal. Also
    /// serves as the goal by which their requests wait for capacity.
    pub first_probe_delay: Duration,
    /// Share of the route's goal for the first event after which engines are probed.
    pub first_probe_share: f64,
    /// Time without an event after which a stream with healthy engines is resumed elsewhere, because its
    /// connection may be dead. Below the two seconds after which callers give up.
    pub stall_limit: Duration,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            max_answer_bytes: 8 * 1024 * 1024,
            max_buffered_bytes: 32 * 1024 * 1024,
            max_catalog_age: Duration::from_millis(4_500),
            connect_timeout: Duration::from_millis(300),
            extra_retries: 100.0,
            fleet: FleetSettings::default(),
            gap_goal: Duration::from_millis(200),
            instance_id: Arc::from(""),
            local_domain: Arc::from(""),
            idle_limit: Duration::from_secs(10),
            prompt_parts: PartSettings::default(),
            // The third crash rules out a coincidence: other failures may also terminate several targets
            // in a row.
            quarantine: QuarantineSettings {
                crash_count: 3,
                ..QuarantineSettings::default()
            },
            retry_hold: Duration::from_secs(15),
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
