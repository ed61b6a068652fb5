use super::*;

/// Time after a connection broke within which the end of its target is taken as the cause. It exceeds the
/// three seconds after which the list entry of an ended target lapses.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// Time after an interruption from which on a target that names its incarnation has not ended. A target that
/// crashes may still answer while its connections break.
const SETTLING_TIME: Duration = Duration::from_millis(250);

/// Maximum number of interruptions whose cause is not known yet. Beyond it, the oldest are removed.
const MAX_INTERRUPTIONS: usize = 1_024;

/// An execution of a request whose connection broke, or which was silent, before the answer was complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Interruption<T> {
    /// Time of the interruption.
    pub at: Duration,
    /// Whether the target was listed then, and had not announced that it is leaving.
    pub is_staying: bool,
    /// What was interrupted.
    pub run: T,
    /// Target that ran the request.
    pub target: TargetRun,
}

/// One incarnation of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetRun {
    /// Address at which it listened.
    pub address: SocketAddr,
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation of the target; 0 if it is not known.
    pub incarnation: Incarnation,
}

/// What shows whether an incarnation of a target has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetSign {
    /// It answered a request that was sent at this time. A target that has restarted under its id answers too.
    Answered(Duration),
    /// It named its incarnation in the answer to a query that was sent at this time.
    Confirmed(Duration),
    /// It accepts no connection, or does not answer.
    Gone,
    /// Another target has its address.
    Replaced,
    /// A later incarnation of it runs.
    Restarted,
    /// It is no longer listed. One that is leaving still runs for a while.
    Unlisted,
}

/// An interruption, and whether its target answered since.
#[derive(Clone, Debug)]
struct Pending<T> {
    interruption: Interruption<T>,
    is_answered: bool,
}

/// Finds out which interruptions were caused by a crash of their target.
///
/// A connection can break for many reasons; only the end of the target counts as a crash. That its address accepts
/// connections proves nothing, as another incarnation may have it.
#[derive(Clone, Debug)]
pub struct CrashDetector<T> {
    pending: VecDeque<Pending<T>>,
}

impl<T> Default for CrashDetector<T> {
    fn default() -> Self {
        Self {
            pending: VecDeque::new(),
        }
    }
}

impl<T> CrashDetector<T> {
    /// Records an interruption. `is_staying` is whether the target is listed and not leaving.
    pub fn record_interruption(
        &mut self,
        now: Duration,
        target: TargetRun,
        is_staying: bool,
        run: T,
    ) {
        self.expire(now);
        if self.pending.len() >= MAX_INTERRUPTIONS {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            interruption: Interruption {
                at: now,
                is_staying,
                run,
                target,
            },
            is_answered: false,
        });
    }

    /// Forgets all interruptions, because their connections broke through no fault of their targets.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Targets with interruptions whose cause is not known yet.
    pub fn pending_targets(&self) -> HashSet<TargetRun> {
        let pending = self.pending.iter();
        pending.map(|one| one.interruption.target.clone()).collect()
    }

    /// Whether the cause of an interruption at this target is not known yet.
    pub fn is_pending(&self, target: &TargetRun) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|one| one.interruption.target == *target)
    }

    /// Records a sign of one target. Removes and returns the interruptions that its end has caused.
    pub fn record_sign(
        &mut self,
        now: Duration,
        target: &TargetRun,
        sign: TargetSign,
    ) -> Vec<Interruption<T>> {
        self.record_signs(now, |one| (one.target == *target).then_some(sign))
    }

    /// Records signs of several targets. Removes and returns the interruptions that their ends have caused. Those
    /// that came longer ago than `ATTRIBUTION_WINDOW` are removed but not returned.
    pub fn record_signs(
        &mut self,
        now: Duration,
        sign_of: impl Fn(&Interruption<T>) -> Option<TargetSign>,
    ) -> Vec<Interruption<T>> {
        self.expire(now);
        let mut crashed = Vec::new();
        if self.pending.is_empty() {
            return crashed;
        }
        let mut kept = VecDeque::with_capacity(self.pending.len());
        for mut pending in self.pending.drain(..) {
            let Interruption { at, is_staying, .. } = pending.interruption;
            match sign_of(&pending.interruption) {
                Some(TargetSign::Restarted) => crashed.push(pending.interruption),
                Some(TargetSign::Gone | TargetSign::Replaced) if !pending.is_answered => {
                    crashed.push(pending.interruption);
                }
                Some(TargetSign::Unlisted) if is_staying && !pending.is_answered => {
                    crashed.push(pending.interruption);
                }
                Some(TargetSign::Confirmed(asked_at)) if asked_at >= at + SETTLING_TIME => {}
                Some(TargetSign::Answered(sent_at)) => {
                    pending.is_answered |= sent_at >= at;
                    kept.push_back(pending);
                }
                _ => kept.push_back(pending),
            }
        }
        self.pending = kept;
        crashed
    }

    fn expire(&mut self, now: Duration) {
        let oldest = now.saturating_sub(ATTRIBUTION_WINDOW);
        self.pending.retain(|one| one.interruption.at >= oldest);
    }
}
