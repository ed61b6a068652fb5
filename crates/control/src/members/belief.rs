use super::*;

/// States of `charts/member.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum BeliefState {
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
pub(crate) enum BeliefEvent {
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
enum BeliefAction {
    CountFlap,
    StartRamp,
    StartSteady,
}

static CHART: LazyLock<Chart<BeliefState, BeliefEvent, BeliefAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/member.json"))
        .expect("charts/member.json names what this file names")
});

/// Belief about one incarnation of a target or peer.
#[derive(Clone, Debug)]
pub(crate) struct Belief {
    pub(crate) detector: Detector,
    flaps: Vec<Duration>,
    /// Whether it was there before this process, so that its share needs no ramp.
    is_known_at_start: bool,
    ramp_since: Option<Duration>,
    state: BeliefState,
    steady_since: Duration,
}

impl Belief {
    pub(crate) fn new(now: Duration, interval: Duration, is_known_at_start: bool) -> Self {
        Self {
            detector: Detector::new(now, interval),
            flaps: Vec::new(),
            is_known_at_start,
            ramp_since: None,
            state: CHART.initial(),
            steady_since: now,
        }
    }

    /// Takes one step of the chart.
    pub(crate) fn apply(&mut self, context: &mut Context, id: &str, event: BeliefEvent) {
        let step = match CHART.step(self.state, event) {
            Err(error) => return context.log_unexpected(id, &error),
            Ok(step) => step,
        };
        if step.state != self.state {
            let reason = format!("{:?} to {:?} on {event:?}", self.state, step.state);
            context.log("member", id, reason);
        }
        let was_joining = self.state == BeliefState::Joining;
        self.state = step.state;
        for action in &step.actions {
            match action {
                BeliefAction::CountFlap => self.flaps.push(context.now),
                BeliefAction::StartRamp if was_joining && self.is_known_at_start => {}
                BeliefAction::StartRamp => self.ramp_since = Some(context.now),
                BeliefAction::StartSteady => self.steady_since = context.now,
            }
        }
    }

    /// Raises what silence and time bring. `is_observed` tells whether silence is evidence.
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
        let is_settled = matches!(self.state, BeliefState::Joining | BeliefState::Leaving);
        if is_observed && !is_settled {
            match self.detector.silence(now, settings) {
                Silence::Late => self.apply(context, id, BeliefEvent::Late),
                Silence::OnTime => {}
                Silence::Silent => self.apply(context, id, BeliefEvent::Silent),
            }
        }
        let steady = self.steady_interval(settings);
        if self.state == BeliefState::Recovering && now >= self.steady_since + steady {
            self.apply(context, id, BeliefEvent::Steady);
        }
    }

    pub(crate) fn health(&self) -> TargetHealth {
        match self.state {
            BeliefState::Down => TargetHealth::Down,
            BeliefState::Leaving => TargetHealth::Leaving,
            BeliefState::Live => TargetHealth::Live,
            BeliefState::Joining | BeliefState::Recovering | BeliefState::Suspect => {
                TargetHealth::Suspect
            }
        }
    }

    /// Marks the incarnation as leaving, once.
    pub(crate) fn leave(&mut self, context: &mut Context, id: &str) {
        if self.state != BeliefState::Leaving {
            self.apply(context, id, BeliefEvent::Left);
        }
    }

    pub(crate) fn state(&self) -> BeliefState {
        self.state
    }

    /// Part of the full share at `now`: grows evenly to 1 over the ramp.
    pub(crate) fn ramp_fraction(&self, now: Duration, settings: &MemberSettings) -> f64 {
        let Some(since) = self.ramp_since else {
            return 1.0;
        };
        let ramp_s = settings.ramp_ms as f64 / 1_000.0;
        (now.saturating_sub(since).as_secs_f64() / ramp_s).clamp(RAMP_START, 1.0)
    }

    fn steady_interval(&self, settings: &MemberSettings) -> Duration {
        let doublings = self.flaps.len().saturating_sub(1).min(16) as u32;
        let interval_ms = settings.steady_ms.saturating_mul(1 << doublings);
        Duration::from_millis(interval_ms.min(settings.steady_max_ms))
    }
}

/// Share at the start of a ramp; above 0, so that a new process gets the work that fills its
/// caches.
const RAMP_START: f64 = 0.05;
