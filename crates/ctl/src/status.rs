use super::*;

/// Reply to `GET /admin/status`, as far as this client uses it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version in force at the replying instance.
    pub config_version: ConfigVersion,
    /// Instances, the replying one included, that use `config_version` or a later one.
    pub in_force_count: usize,
    /// Instances that are not down, the replying one included.
    pub instance_count: usize,
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
    /// Number of instances where `version` is in force, as far as the replying instance knows.
    #[must_use]
    pub fn in_force_count(&self, version: ConfigVersion) -> usize {
        if self.config_version < version {
            return 0;
        }
        self.in_force_count
    }
}
