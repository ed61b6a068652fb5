use super::*;

/// Reply to `GET /admin/status`, with the fields that this client uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version in force at the replying instance.
    pub config_version: ConfigVersion,
    /// Number of the instances in `instance_count` that use `config_version` or a later version;
    /// none while the replying instance does not know it.
    pub in_force_count: Option<usize>,
    /// Number of instances that may accept requests, including the replying one; none while it
    /// does not know the other instances.
    pub instance_count: Option<usize>,
    /// Entry instances that the replying instance knows.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
}

/// State of one entry instance, as the replying instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Configuration version that the instance last reported.
    pub config_version: ConfigVersion,
    /// Failure domain in which the instance runs.
    pub failure_domain: String,
    /// Health of the instance as the replying instance sees it, such as `live` or `suspect`.
    pub health: String,
    /// Name of the instance.
    pub id: String,
}

impl Status {
    /// Number of instances where `version` is in force: 0 while it is newer than the version of
    /// the replying instance, none while that instance does not know the number.
    #[must_use]
    pub fn in_force_count(&self, version: ConfigVersion) -> Option<usize> {
        if self.config_version < version {
            return self.in_force_count.map(|_| 0);
        }
        self.in_force_count
    }
}
