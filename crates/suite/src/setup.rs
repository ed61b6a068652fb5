use super::*;

/// Test account.
pub(crate) const ACCOUNT: &str = "tester";

/// Key of the test account.
pub const CALLER_KEY: &str = "suite-caller-key";

/// Model that the engines hold.
pub const MODEL: &str = "assistant";

/// Key of the operator.
pub const OPERATOR_KEY: &str = "suite-operator-key";

/// Service that the service stand-ins offer.
pub const SERVICE: &str = "booking";

/// What a cluster consists of. Each failure domain holds a whole model in stages, service targets
/// and its part of the entry instances.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Failure domains.
    pub domain_count: usize,
    /// Settings of every engine, besides its place and its layers.
    pub engine: EngineSettings,
    /// Settings of every entry instance, besides its names and addresses.
    pub entry: entry::Settings,
    /// Entry instances.
    pub entry_count: usize,
    /// Layers of the model.
    pub layer_count: u32,
    /// Settings of the platform.
    pub platform: standin::PlatformSettings,
    /// Settings of every service target, besides its place.
    pub service: ServiceSettings,
    /// Engines that hold the model together, in each failure domain. Must divide `layer_count`.
    pub stage_count: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            domain_count: 2,
            engine: EngineSettings::default(),
            entry: entry::Settings::default(),
            entry_count: 2,
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
