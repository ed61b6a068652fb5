use super::*;

/// Time for which the set of engines must not change before layers are placed, so that engines that
/// start together are planned together.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time after an order in which its effect must be listed: a heartbeat, a read and a load.
const ORDER_TIME: Duration = Duration::from_secs(6);

/// An engine that is to hold other layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Engine and layers.
    pub placement: Placement,
}

/// Decides which engines to order, from what is listed and what was ordered since.
#[derive(Clone, Debug, Default)]
pub struct LayoutKeeper {
    engines: Vec<Arc<str>>,
    /// Orders whose effect is not listed yet, with the time of the order.
    ordered: HashMap<Arc<str>, (LayerRange, Duration)>,
    settings: LayoutSettings,
    settled_at: Option<Duration>,
}

impl LayoutKeeper {
    /// Creates a keeper.
    #[must_use]
    pub fn new(settings: LayoutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Orders that bring the engines of one service closer to the plan.
    pub fn orders(
        &mut self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        targets: &[Target],
    ) -> Vec<Order> {
        let shape = ModelShape {
            kv_mb_per_token_layer: profile.kv_mb_per_token_layer(),
            layer_count: profile.layer_count,
            layer_mb: profile.layer_mb,
        };
        let engines = self.engines(now, service, profile, targets);
        let ids: Vec<Arc<str>> = engines.iter().map(|engine| engine.id.clone()).collect();
        if ids != self.engines {
            self.engines = ids;
            self.settled_at = Some(now + SETTLE_TIME);
        }
        if self.settled_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for placement in layout::plan(&engines, &shape, &self.settings) {
            if self.ordered.contains_key(&placement.engine) {
                continue;
            }
            let Some(target) = targets.iter().find(|one| one.id == placement.engine) else {
                continue;
            };
            orders.push(Order {
                address: target.address,
                placement,
            });
        }
        orders
    }

    /// Notes that an engine accepted an order, or may have.
    pub fn ordered(&mut self, now: Duration, placement: &Placement) {
        let order = (placement.range, now);
        self.ordered.insert(placement.engine.clone(), order);
    }

    fn engines(
        &mut self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        targets: &[Target],
    ) -> Vec<Engine> {
        self.ordered
            .retain(|_, (_, at)| now.saturating_sub(*at) < ORDER_TIME);
        let mut engines = Vec::new();
        for target in targets {
            if &*target.service != service || target.is_leaving {
                continue;
            }
            let Some(kind) = target
                .hardware
                .as_deref()
                .and_then(|name| profile.kind(name))
            else {
                continue;
            };
            if self
                .ordered
                .get(&target.id)
                .is_some_and(|(range, _)| target.held == Some(*range))
            {
                self.ordered.remove(&target.id);
            }
            let ordered = self.ordered.get(&target.id).map(|(range, _)| *range);
            engines.push(Engine {
                domain: target.domain.clone(),
                held: ordered.or(target.held),
                id: target.id.clone(),
                memory_mb: kind.memory_mb,
                pace: kind.pace,
            });
        }
        engines
    }
}
