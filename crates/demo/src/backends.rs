use super::*;

/// Number of layers of the model.
const LAYER_COUNT: u32 = 32;

/// Time of one token in microseconds; slow enough to see tokens arrive one by one in a terminal.
const STEP_US: u64 = 40_000;

/// The fake platform, engines and services. Dropping them stops them.
pub(crate) struct Backends {
    platform: FakeServer,
    _targets: Vec<FakeServer>,
}

impl Backends {
    /// Starts the platform and, in each failure domain, two engines that hold one half of the model
    /// each, and a service.
    pub(crate) async fn start(settings: &DemoSettings) -> Result<Self> {
        let platform = Platform::start(standin::PlatformSettings {
            address: settings.address(20),
            ..standin::PlatformSettings::default()
        })
        .await?;
        let address = platform.address();
        let mut targets = Vec::new();
        for (number, domain) in DOMAINS.iter().enumerate() {
            for half in 0..2 {
                let offset = number * 2 + half;
                let place = RegistrationSettings {
                    address: settings.address(31 + offset),
                    ..registration(&format!("engine-{}", offset + 1), domain, address)
                };
                targets.push(Engine::start(engine(place, half)).await?);
            }
            let place = RegistrationSettings {
                address: settings.address(41 + number),
                ..registration(&format!("booking-{}", number + 1), domain, address)
            };
            targets.push(Service::start(service(place)).await?);
        }
        Ok(Self {
            platform,
            _targets: targets,
        })
    }

    pub(crate) fn platform(&self) -> SocketAddr {
        self.platform.address()
    }
}

fn registration(id: &str, domain: &str, platform: SocketAddr) -> RegistrationSettings {
    RegistrationSettings {
        failure_domain: domain.into(),
        id: id.into(),
        platforms: vec![platform],
        ..RegistrationSettings::default()
    }
}

fn engine(place: RegistrationSettings, half: usize) -> EngineSettings {
    let middle = LAYER_COUNT / 2;
    let layers = match half {
        0 => LayerRange {
            start: 0,
            end: middle,
        },
        _ => LayerRange {
            start: middle,
            end: LAYER_COUNT,
        },
    };
    EngineSettings {
        models: vec![LoadedModel {
            adapters: Vec::new(),
            layer_count: LAYER_COUNT,
            layers,
            model: MODEL.into(),
        }],
        place,
        step_us: STEP_US,
        ..EngineSettings::default()
    }
}

fn service(place: RegistrationSettings) -> ServiceSettings {
    let operation = |name: &str, kind| OperationSettings {
        delay_ms: 10,
        kind,
        name: name.into(),
    };
    ServiceSettings {
        operations: vec![
            operation("availability", OperationKind::Idempotent),
            operation("confirm", OperationKind::NonRepeatable),
        ],
        place,
        service: SERVICE.into(),
        ..ServiceSettings::default()
    }
}
