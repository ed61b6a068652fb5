use super::*;

/// Name of the test account.
pub(crate) const ACCOUNT: &str = "tester";

/// Secret key of the test account.
pub const CALLER_KEY: &str = "suite-caller-key";

/// Name of the model that the engines hold.
pub const MODEL: &str = "assistant";

/// Secret key of the operator.
pub const OPERATOR_KEY: &str = "suite-operator-key";

/// Name of the service that the fake services offer.
pub const SERVICE: &str = "booking";

/// Composition of a cluster. Each failure domain has engines that together hold the whole model,
/// one service target and a share of the entry instances.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of failure domains.
    pub domain_count: usize,
    /// Settings of all engines; their registration and layers are replaced.
    pub engine: EngineSettings,
    /// Settings of all entry instances; their names, addresses and secrets are replaced.
    pub entry: entry::Settings,
    /// Number of entry instances, over all failure domains.
    pub entry_count: usize,
    /// Whether a proxy that can damage replies is between the entry instances and each service.
    pub has_service_proxies: bool,
    /// Number of layers of the model.
    pub layer_count: u32,
    /// Settings of the fake platform.
    pub platform: standin::PlatformSettings,
    /// Settings of all fake services; their registration is replaced.
    pub service: ServiceSettings,
    /// Number of engines in each failure domain, among which the layers are divided. Must divide
    /// `layer_count`.
    pub stage_count: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            domain_count: 2,
            engine: EngineSettings::default(),
            entry: entry::Settings::default(),
            entry_count: 2,
            has_service_proxies: false,
            layer_count: 32,
            platform: standin::PlatformSettings::default(),
            service: ServiceSettings {
                service: SERVICE.into(),
                ..ServiceSettings::default()
            },
            stage_count: 2,
        }
    }
}

impl Setup {
    pub(crate) fn engine(&self, domain: usize, stage: u32, platform: SocketAddr) -> EngineSettings {
        let size = self.layer_count / self.stage_count;
        EngineSettings {
            models: vec![LoadedModel {
                adapters: Vec::new(),
                layer_count: self.layer_count,
                layers: LayerRange {
                    start: stage * size,
                    end: (stage + 1) * size,
                },
                model: MODEL.into(),
            }],
            place: self.place(&format!("engine-{domain}-{stage}"), domain, platform),
            ..self.engine.clone()
        }
    }

    pub(crate) fn entry(&self, number: usize, platform: SocketAddr) -> entry::Settings {
        entry::Settings {
            address: loopback(),
            failure_domain: domain_name(number % self.domain_count).into(),
            instance: format!("entry-{number}").into(),
            operator_key_hashes: [hash_key(OPERATOR_KEY)].into(),
            peer: peer::PeerSettings {
                secret: "suite-peer-secret".into(),
                ..self.entry.peer.clone()
            },
            peer_address: loopback(),
            platform: storage::PlatformSettings {
                addresses: vec![platform],
                ..self.entry.platform.clone()
            },
            region: "local".into(),
            ..self.entry.clone()
        }
    }

    pub(crate) fn service(&self, domain: usize, platform: SocketAddr) -> ServiceSettings {
        ServiceSettings {
            place: self.place(&format!("service-{domain}"), domain, platform),
            ..self.service.clone()
        }
    }

    fn place(&self, id: &str, domain: usize, platform: SocketAddr) -> RegistrationSettings {
        RegistrationSettings {
            address: loopback(),
            failure_domain: domain_name(domain).into(),
            id: id.into(),
            platforms: vec![platform],
            region: "local".into(),
            ..RegistrationSettings::default()
        }
    }
}

fn domain_name(number: usize) -> String {
    format!("zone-{number}")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
