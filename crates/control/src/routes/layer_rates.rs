use super::*;

/// Weight of one report in the moving mean.
const EWMA_WEIGHT: f64 = 0.1;

/// Observed speed of one slot per kind of accelerator or service, in layers per second. A service
/// counts as one layer.
#[derive(Clone, Debug, Default)]
pub struct LayerRates {
    by_kind: BTreeMap<Arc<str>, f64>,
    last_reports: BTreeMap<TargetId, Duration>,
}

impl LayerRates {
    /// Takes in the newest report of a target, once per report. Idle targets say nothing of their
    /// speed.
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

    /// Forgets targets that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TargetId) -> bool) {
        self.last_reports.retain(|target, _| exists(target));
    }

    /// Time for one token or call to cross `layers` of `layer_count` layers at the target, in
    /// milliseconds.
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
