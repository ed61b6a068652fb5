use super::*;

/// Settings of the service stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// A call whose body contains this text makes the process crash; empty for none.
    pub crash_marker: String,
    /// Faults at the start.
    pub faults: ServiceFaults,
    /// Limits on requests.
    pub limits: Limits,
    /// What the binary logs.
    pub log: LogSettings,
    /// Operations.
    pub operations: Vec<OperationSettings>,
    /// Where it runs.
    pub place: RegistrationSettings,
    /// Time by which load reports are behind, in milliseconds.
    pub report_lag_ms: u64,
    /// Service.
    pub service: ServiceId,
    /// Calls that can run at once.
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
                // All instances of a test or demo may share one address.
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

/// One operation of the service stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSettings {
    /// Time that one run takes, in milliseconds.
    pub delay_ms: u64,
    /// Whether it may be repeated.
    pub kind: OperationKind,
    /// Name in the path of a call.
    pub name: Arc<str>,
}

/// Faults of a service. `PUT /faults` replaces them all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Whether the next call runs and then crashes the process.
    pub crash: bool,
    /// Time added to each run, in milliseconds.
    pub delay_ms: u64,
    /// Next calls that run and whose connection then closes without a reply.
    pub drop_reply_count: u64,
    /// Whether every request waits until this is false again.
    pub frozen: bool,
    /// Next calls that are refused and do not run.
    pub refuse_count: u64,
}
