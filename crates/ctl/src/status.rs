use super::*;

/// Reply to `GET /admin/status`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Instances that the replying instance knows, itself included.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
    /// Version in force at the replying instance.
    pub version: ConfigVersion,
}

/// Version in force at one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Instance.
    pub instance: String,
    /// Version that it last reported.
    pub version: ConfigVersion,
}

impl Status {
    /// Newest version that any instance has reported.
    #[must_use]
    pub fn newest(&self) -> ConfigVersion {
        let versions = self.instances.iter().map(|instance| instance.version);
        versions.fold(self.version, ConfigVersion::max)
    }

    /// Number of instances where `version` or a later one is in force.
    #[must_use]
    pub fn in_force_count(&self, version: ConfigVersion) -> usize {
        let instances = self.instances.iter();
        instances
            .filter(|instance| instance.version >= version)
            .count()
    }
}
