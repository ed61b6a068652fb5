use super::*;

/// Reply to `GET /admin/status`, as far as this client uses it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version in force at the replying instance.
    pub config_version: ConfigVersion,
    /// Instances of those in `instance_count` that use `config_version` or a later one; none while
    /// the replying instance does not know.
    pub in_force_count: Option<usize>,
    /// Instances that may admit work, the replying one included; none while it does not know.
    pub instance_count: Option<usize>,
    /// Entry instances that the replying one knows.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
}

/// One entry instance in a `Status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Version that it last reported.
    pub config_version: ConfigVersion,
    /// Failure domain.
    pub failure_domain: String,
    /// Belief about it.
    pub health: String,
    /// Instance.
    pub id: String,
}

impl Status {
    /// Number of instances where `version` is in force; none while the replying instance does not
    /// know.
    #[must_use]
    pub fn in_force_count(&self, version: ConfigVersion) -> Option<usize> {
        if self.config_version < version {
            return self.in_force_count.map(|_| 0);
        }
        self.in_force_count
    }
}
