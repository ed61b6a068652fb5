use super::*;

/// Settings of the demo.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct DemoSettings {
    /// First port of the range in which all servers listen at fixed offsets; 0 lets the system
    /// choose every port.
    pub(crate) first_port: u16,
    /// Log level and format.
    pub(crate) log: LogSettings,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            first_port: 7_100,
            log: LogSettings {
                filter: "warn".into(),
                ..LogSettings::default()
            },
        }
    }
}

impl Check for DemoSettings {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        let remedy = "write a port that is followed by 100 free ones, or 0";
        // All offsets from the first port are below 100.
        faults.require_in_range("first_port", self.first_port, 0..=65_435, remedy);
    }
}

impl DemoSettings {
    /// Loopback address with the port at `offset` from the first port; port 0 if `first_port` is 0.
    pub(crate) fn address(&self, offset: usize) -> SocketAddr {
        let offset = u16::try_from(offset).unwrap_or_default();
        let port = match self.first_port {
            0 => 0,
            first => first.saturating_add(offset),
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}
