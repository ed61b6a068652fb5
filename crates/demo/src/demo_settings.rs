use super::*;

/// Settings of the demo.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct DemoSettings {
    /// Number from which the ports of all parts count; 0 lets the system choose all of them.
    pub(crate) first_port: u16,
    /// Log.
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
        let remedy = "write a port with 100 free ones after it, or 0";
        // The highest offset in use is below 100.
        faults.require_in_range("first_port", self.first_port, 0..=65_435, remedy);
    }
}

impl DemoSettings {
    /// Address of the part at `offset` from the first port.
    pub(crate) fn address(&self, offset: usize) -> SocketAddr {
        let offset = u16::try_from(offset).unwrap_or_default();
        let port = match self.first_port {
            0 => 0,
            first => first.saturating_add(offset),
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}
