use super::*;

/// Time for which the set of engines must stay unchanged before the first layers are placed, so
/// that engines that start at about the same time are planned together.
const START_SETTLE_TIME: Duration = Duration::from_millis(700);
/// The same time while engines hold layers. It is shorter because a series of replacements must not
/// delay loading on the engines that are already present.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Upper limit, in settle times, on the delay that a series of changes can cause.
const MAX_SETTLE_TIMES: u32 = 4;
/// Time after an order within which its effect must be listed: one heartbeat, one read and one
/// load. After that, the order may be sent again.
const ORDER_EFFECT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which layers must be without a holder, whatever the plan for empty and redundant engines, before
/// the ranges of other engines shift. An engine that is listed again in the meantime needs only its own layers.
const SHIFT_DELAY: Duration = Duration::from_secs(1);
/// Time for which an engine must refuse or ignore orders before its cooperation is no longer needed for the
/// layout.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);
/// Time after the first refusal after which the engine is expected to accept orders again.
const REFUSAL_VALIDITY: Duration = Duration::from_secs(30);

/// Time for which the limits of all first stages must be too low before another one is placed, so that a
/// limit that lasts only for moments moves no engine.
const LIMITED_TIME: Duration = Duration::from_secs(1);

/// Requests for a service, and the limits of the engines that receive them.
#[derive(Clone, Debug, Default)]
pub struct FirstStageLoad {
    /// Requests per second that engines with a limit take, by engine.
    pub limits_per_s: HashMap<Arc<str>, f64>,
    /// Requests per second at all instances.
    pub requests_per_s: f64,
}

/// Instructs an engine to hold another range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Address at which the engine receives orders.
    pub address: SocketAddr,
    /// Engine and the layers that it is to hold.
    pub placement: Placement,
}

/// Compares the listed engines with the planned layout, and decides which orders to send. Orders
/// that were sent recently count as carried out.
#[derive(Clone, Debug, Default)]
pub struct LayoutReconciler {
    /// Ids of the engines that the last call of `orders` found.
    engines: Vec<Arc<str>>,
    /// Whether the log says that the engines lack the memory for all layers.
    has_reported_shortage: bool,
    /// Since when layers have no holder and get none by the plan; none if each layer has or gets one.
    incomplete_since: Option<Duration>,
    /// Since when the limits of all first stages together are too low; none if they are not.
    limited_since: Option<Duration>,
    /// Ranges and times of orders whose effect is not listed yet, by engine.
    pending_orders: HashMap<Arc<str>, (LayerRange, Duration)>,
    /// Since when engines refuse orders or leave them without effect.
    refusing_since: HashMap<Arc<str>, Duration>,
    settings: LayoutSettings,
    /// Times of the first and the last change of the set of engines since the last plan; none if
    /// there was no change.
    unplanned_changes: Option<(Duration, Duration)>,
}

impl LayoutReconciler {
    /// Creates a reconciler without pending orders.
    #[must_use]
    pub fn new(settings: LayoutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Orders that bring the engines of one service closer to the planned layout. Empty while the
    /// set of engines is still changing.
    pub fn orders(
        &mut self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        targets: &[Target],
        load: &FirstStageLoad,
    ) -> Vec<Order> {
        let shape = ModelShape {
            kv_mb_per_token_layer: profile.kv_mb_per_token_layer(),
            layer_count: profile.layer_count,
            layer_mb: profile.layer_mb,
            link_tokens_per_s: profile.pipe_mbps * 1e6 / 8.0 / profile.activation_bytes.max(1.0),
        };
        let engines = self.engines(now, service, profile, targets, load);
        let ids: Vec<Arc<str>> = engines.iter().map(|engine| engine.id.clone()).collect();
        if ids != self.engines {
            let first = self.unplanned_changes.map_or(now, |(first, _)| first);
            self.engines = ids;
            self.unplanned_changes = Some((first, now));
        }
        let is_running = engines.iter().any(|engine| engine.held.is_some());
        if !self.is_settled(now, is_running) {
            return Vec::new();
        }
        self.unplanned_changes = None;
        let mut orders = Vec::new();
        let placements = layout::plan(&engines, &shape, &self.settings);
        let mut placements = self.complete(now, service, &engines, &shape, placements);
        if placements.is_empty() {
            placements.extend(self.additional_first_stage(now, &engines, load));
        }
        for placement in placements {
            if self.pending_orders.contains_key(&placement.engine) {
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

    /// Replaces a plan that leaves layers without a holder by one that shifts the ranges of engines, once
    /// the layers have been without a holder for long enough.
    fn complete(
        &mut self,
        now: Duration,
        service: &str,
        engines: &[Engine],
        shape: &ModelShape,
        mut placements: Vec<Placement>,
    ) -> Vec<Placement> {
        let unresponsive = self.unresponsive_engines(now);
        let is_expected = |one: &&Placement| !unresponsive.contains(&one.engine);
        let expected: Vec<Placement> = placements.iter().filter(is_expected).cloned().collect();
        let missing_count = layout::missing_layers(engines, &expected, shape);
        let gauge = metrics::gauge!("layout_missing_layers", "service" => service.to_owned());
        gauge.set(f64::from(missing_count));
        if missing_count == 0 {
            self.incomplete_since = None;
            self.has_reported_shortage = false;
            return placements;
        }
        let since = *self.incomplete_since.get_or_insert(now);
        if now < since + SHIFT_DELAY {
            // A move without which the model stays incomplete only disturbs requests.
            let is_empty = |one: &Placement| {
                let holds_none = |engine: &Engine| engine.id == one.engine && engine.held.is_none();
                engines.iter().any(holds_none)
            };
            placements.retain(is_empty);
            return placements;
        }
        let shift = |unresponsive: &BTreeSet<EngineId>| {
            layout::shift_ranges(engines, &placements, shape, &self.settings, unresponsive)
        };
        let shifted = shift(&unresponsive).or_else(|| shift(&BTreeSet::new()));
        let Some(shifted) = shifted else {
            self.report_shortage(service, missing_count, engines.len());
            return placements;
        };
        tracing::info!(
            service,
            missing_count,
            incomplete_ms = now.saturating_sub(since).as_millis() as u64,
            change_count = shifted.len(),
            unresponsive_count = unresponsive.len(),
            "layers have no holder, shifting the ranges of engines"
        );
        shifted
    }

    /// Logs once that the engines lack the memory for the model.
    fn report_shortage(&mut self, service: &str, missing_count: u32, engine_count: usize) {
        if std::mem::replace(&mut self.has_reported_shortage, true) {
            return;
        }
        tracing::warn!(
            service,
            missing_count,
            engine_count,
            "the engines lack the memory for all layers of the model"
        );
    }

    /// Engines that have refused or ignored orders for too long.
    fn unresponsive_engines(&self, now: Duration) -> BTreeSet<EngineId> {
        let mut ids = BTreeSet::new();
        for (id, since) in &self.refusing_since {
            if now >= *since + UNRESPONSIVE_AFTER {
                ids.insert(id.clone());
            }
        }
        ids
    }

    fn additional_first_stage(
        &mut self,
        now: Duration,
        engines: &[Engine],
        load: &FirstStageLoad,
    ) -> Option<Placement> {
        let placement = layout::additional_first_stage(engines, load.requests_per_s);
        if placement.is_none() {
            self.limited_since = None;
        }
        let placement = placement?;
        let since = *self.limited_since.get_or_insert(now);
        if now < since + LIMITED_TIME {
            return None;
        }
        tracing::info!(
            target = &*placement.engine,
            requests_per_s = load.requests_per_s,
            limited_count = load.limits_per_s.len(),
            "all first stages limit their requests, placing another one"
        );
        Some(placement)
    }

    fn is_settled(&self, now: Duration, is_running: bool) -> bool {
        let Some((first, last)) = self.unplanned_changes else {
            return true;
        };
        let time = if is_running {
            SETTLE_TIME
        } else {
            START_SETTLE_TIME
        };
        now >= last + time || now >= first + time * MAX_SETTLE_TIMES
    }

    /// Records that an engine accepted an order or may have accepted it.
    pub fn record_order(&mut self, now: Duration, placement: &Placement) {
        let order = (placement.range, now);
        self.pending_orders.insert(placement.engine.clone(), order);
    }

    /// Records that an engine refused an order or could not be reached.
    pub fn record_refusal(&mut self, now: Duration, engine: &EngineId) {
        self.refusing_since.entry(engine.clone()).or_insert(now);
    }

    /// Gives up orders without an effect, and forgets refusals that are too old or of engines that are gone.
    fn expire_orders(&mut self, now: Duration, targets: &[Target]) {
        let refusing_since = &mut self.refusing_since;
        self.pending_orders.retain(|engine, (_, at)| {
            let is_pending = now.saturating_sub(*at) < ORDER_EFFECT_TIMEOUT;
            if !is_pending {
                refusing_since.entry(engine.clone()).or_insert(*at);
            }
            is_pending
        });
        refusing_since.retain(|id, since| {
            let is_listed = targets.iter().any(|target| target.id == *id);
            is_listed && now.saturating_sub(*since) < REFUSAL_VALIDITY
        });
    }

    fn engines(
        &mut self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        targets: &[Target],
        load: &FirstStageLoad,
    ) -> Vec<Engine> {
        self.expire_orders(now, targets);
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
                .pending_orders
                .get(&target.id)
                .is_some_and(|(range, _)| target.held == Some(*range))
            {
                self.pending_orders.remove(&target.id);
                self.refusing_since.remove(&target.id);
            }
            let pending_range = self.pending_orders.get(&target.id).map(|(range, _)| *range);
            // An engine may report layers beyond the model, of which it has no use here.
            let held = pending_range.or(target.held);
            let held = held
                .and_then(|held| LayerRange::new(held.start, held.end.min(profile.layer_count)));
            engines.push(Engine {
                domain: target.domain.clone(),
                held,
                id: target.id.clone(),
                memory_mb: kind.memory_mb,
                pace: kind.pace,
                request_limit_per_s: load.limits_per_s.get(&target.id).copied(),
            });
        }
        engines
    }
}
