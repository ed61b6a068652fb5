use super::*;

/// Settings of the fake service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// A call whose body contains this text crashes the service; empty disables it.
    pub crash_marker: String,
    /// Faults that are injected from the start.
    pub faults: ServiceFaults,
    /// Limits of the HTTP server.
    pub limits: Limits,
    /// Log level and format of the binary.
    pub log: LogSettings,
    /// Operations that the service offers.
    pub operations: Vec<OperationSettings>,
    /// Listen address and registration in the platform's process list.
    pub place: RegistrationSettings,
    /// Age of the state that a load report shows, in milliseconds.
    pub report_lag_ms: u64,
    /// Id of the service that the process is a target of.
    pub service: ServiceId,
    /// Maximum calls that run at the same time; more are refused.
    pub slot_count: u32,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let operation = |name: &str, kind| OperationSettings {
            delay_ms: 10,
            kind,
            name: name.into(),
        };
        Self {
            crash_marker: String::new(),
            faults: ServiceFaults::default(),
            limits: Limits {
                // All processes of a test or demo connect from the same loopback address.
                client_connection_count: 4_096,
                ..Limits::default()
            },
            log: LogSettings::default(),
            operations: vec![
                operation("availability", OperationKind::Idempotent),
                operation("confirm", OperationKind::NonRepeatable),
            ],
            place: RegistrationSettings {
                id: "service-1".into(),
                ..RegistrationSettings::default()
            },
            report_lag_ms: 500,
            service: "booking".into(),
            slot_count: 64,
        }
    }
}

/// One operation of the fake service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSettings {
    /// Simulated duration of a run, in milliseconds.
    pub delay_ms: u64,
    /// Whether a call of it may be sent again.
    pub kind: OperationKind,
    /// Last segment of the path of a call.
    pub name: Arc<str>,
}

/// Faults injected into a service. `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Whether the next call crashes the service after it has run.
    pub crash: bool,
    /// Additional duration of each run, in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that run and whose connection is then closed without a reply.
    pub drop_reply_count: u64,
    /// Whether requests wait until this is false again. `/faults` and `/executions` still answer.
    pub frozen: bool,
    /// Number of next calls that are refused without being run.
    pub refuse_count: u64,
}
