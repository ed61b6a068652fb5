use super::*;

/// States of `charts/member.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HealthState {
    Down,
    Joining,
    Leaving,
    Live,
    Recovering,
    Suspect,
}

/// Events of `charts/member.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HealthEvent {
    ConfirmedDown,
    Heard,
    Late,
    Left,
    Refused,
    Silent,
    Steady,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum HealthAction {
    CountFlap,
    StartRamp,
    StartSteady,
}

static CHART: LazyLock<Chart<HealthState, HealthEvent, HealthAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/member.json"))
        .expect("charts/member.json uses the states, events and actions of this file")
});

/// Health of one incarnation of a target or peer, as this instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct HealthTracker {
    pub(crate) detector: FailureDetector,
    flaps: Vec<Duration>,
    /// Whether it was listed when this process started, so that its share needs no ramp.
    is_known_at_start: bool,
    ramp_since: Option<Duration>,
    state: HealthState,
    steady_since: Duration,
}

impl HealthTracker {
    pub(crate) fn new(now: Duration, interval: Duration, is_known_at_start: bool) -> Self {
        Self {
            detector: FailureDetector::new(now, interval),
            flaps: Vec::new(),
            is_known_at_start,
            ramp_since: None,
            state: CHART.initial(),
            steady_since: now,
        }
    }

    /// Applies an event to the state chart and runs the resulting actions.
    pub(crate) fn apply(&mut self, context: &mut Context, id: &str, event: HealthEvent) {
        let step = match CHART.step(self.state, event) {
            Err(error) => return context.log_unexpected(id, &error),
            Ok(step) => step,
        };
        if step.state != self.state {
            let reason = format!("{:?} to {:?} on {event:?}", self.state, step.state);
            context.log("member", id, reason);
        }
        let was_joining = self.state == HealthState::Joining;
        self.state = step.state;
        for action in &step.actions {
            match action {
                HealthAction::CountFlap => self.flaps.push(context.now),
                HealthAction::StartRamp if was_joining && self.is_known_at_start => {}
                HealthAction::StartRamp => self.ramp_since = Some(context.now),
                HealthAction::StartSteady => self.steady_since = context.now,
            }
        }
    }

    /// Raises the events that follow from silence and from the time passed. `is_observed` tells
    /// whether arrivals are expected here, so that silence is evidence.
    pub(crate) fn tick(
        &mut self,
        context: &mut Context,
        id: &str,
        settings: &MemberSettings,
        is_observed: bool,
    ) {
        let now = context.now;
        let horizon = Duration::from_millis(settings.flap_memory_ms);
        self.flaps
            .retain(|flap| now.saturating_sub(*flap) < horizon);
        let ignores_silence = matches!(self.state, HealthState::Joining | HealthState::Leaving);
        if is_observed && !ignores_silence {
            match self.detector.silence(now, settings) {
                Silence::Late => self.apply(context, id, HealthEvent::Late),
                Silence::OnTime => {}
                Silence::Silent => self.apply(context, id, HealthEvent::Silent),
            }
        }
        let steady = self.steady_interval(settings);
        if self.state == HealthState::Recovering && now >= self.steady_since + steady {
            self.apply(context, id, HealthEvent::Steady);
        }
    }

    pub(crate) fn health(&self) -> TargetHealth {
        match self.state {
            HealthState::Down => TargetHealth::Down,
            HealthState::Leaving => TargetHealth::Leaving,
            HealthState::Live => TargetHealth::Live,
            HealthState::Joining | HealthState::Recovering | HealthState::Suspect => {
                TargetHealth::Suspect
            }
        }
    }

    /// Marks the incarnation as leaving. Further calls have no effect.
    pub(crate) fn mark_leaving(&mut self, context: &mut Context, id: &str) {
        if self.state != HealthState::Leaving {
            self.apply(context, id, HealthEvent::Left);
        }
    }

    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    /// Fraction of the full share of new work at `now`, which grows linearly to 1 over the ramp.
    pub(crate) fn ramp_fraction(&self, now: Duration, settings: &MemberSettings) -> f64 {
        let Some(since) = self.ramp_since else {
            return 1.0;
        };
        let ramp_s = settings.ramp_ms as f64 / 1_000.0;
        (now.saturating_sub(since).as_secs_f64() / ramp_s).clamp(MIN_RAMP_FRACTION, 1.0)
    }

    fn steady_interval(&self, settings: &MemberSettings) -> Duration {
        let doublings = self.flaps.len().saturating_sub(1).min(16) as u32;
        let interval_ms = settings.steady_ms.saturating_mul(1 << doublings);
        Duration::from_millis(interval_ms.min(settings.steady_max_ms))
    }
}

/// Fraction at the start of a ramp. It is above 0, so that a new process gets the work that fills
/// its caches.
const MIN_RAMP_FRACTION: f64 = 0.05;
