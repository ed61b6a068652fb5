use super::*;

/// Weight of a new report in the exponential moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Observed speed of one slot, per accelerator kind or service, in layers per second. A service
/// counts as one layer.
#[derive(Clone, Debug, Default)]
pub struct LayerRates {
    by_kind: BTreeMap<Arc<str>, f64>,
    last_reports: BTreeMap<TargetId, Duration>,
}

impl LayerRates {
    /// Updates the speed from the newest report of a target, once per report. Reports of idle
    /// targets are skipped, because they do not show a speed.
    pub fn observe(&mut self, target: &Target) {
        if self.last_reports.get(&target.id) == Some(&target.reported_at) {
            return;
        }
        self.last_reports
            .insert(target.id.clone(), target.reported_at);
        let report = &target.report;
        let running = report.running_count.min(report.slot_count);
        if running == 0 || report.rate_per_s <= 0.0 {
            return;
        }
        let layers = report.models.first().map_or(1, |model| {
            model.layers.end.saturating_sub(model.layers.start).max(1)
        });
        let observed = report.rate_per_s * f64::from(layers) / f64::from(running);
        let rate = self.by_kind.entry(rate_key(target)).or_insert(observed);
        *rate += EWMA_WEIGHT * (observed - *rate);
    }

    /// Drops the state of targets that no longer exist. The speeds are kept.
    pub fn retain(&mut self, exists: impl Fn(&TargetId) -> bool) {
        self.last_reports.retain(|target, _| exists(target));
    }

    /// Expected time that the target takes to run one token or call through `layers` of the model's
    /// `layer_count` layers, in milliseconds. `default_rate` is in whole passes per second, and is
    /// used as long as nothing was observed for this kind.
    #[must_use]
    pub fn step_ms(
        &self,
        target: &Target,
        layers: u32,
        layer_count: u32,
        default_rate: f64,
    ) -> f64 {
        let observed = self.by_kind.get(&rate_key(target)).copied();
        let rate = observed.unwrap_or(default_rate * f64::from(layer_count));
        1_000.0 * f64::from(layers) / rate.max(0.001)
    }
}

fn rate_key(target: &Target) -> Arc<str> {
    match &target.role {
        ListingRole::Engine { accelerator, .. } => accelerator.clone(),
        ListingRole::Entry { .. } => target.id.clone(),
        ListingRole::Service { service, .. } => service.clone(),
    }
}
