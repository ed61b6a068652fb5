use super::*;

/// Time between two searches for a replacement, each of which weighs all targets.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Preparation of the attempt that replaces one at an engine that is leaving.
#[derive(Clone, Debug)]
pub(crate) struct Moving {
    /// Engines whose cache is being moved.
    awaiting: BTreeSet<TargetId>,
    choice: RouteChoice,
    /// Time at which the new attempt starts without the cache.
    until: Duration,
}

impl Requests {
    /// Time by which `tick` is due for the bound of a move.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let moving = self.entries.values().filter_map(|entry| {
            let moving = entry.moving.as_ref()?;
            Some(moving.until)
        });
        moving.min()
    }

    /// Replaces the attempt of a stream whose engine has been leaving for longer than the grace.
    /// Without a free route the stream goes on where it is: a leaving engine cuts off nothing.
    pub(crate) fn watch_departure(&mut self, scope: &mut Scope, request: &RequestId) {
        let now = scope.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let targets = entry.targets();
        let is_leaving = |id: &&TargetId| {
            let target = scope.members.target(id);
            target.is_some_and(|target| target.health == TargetHealth::Leaving)
        };
        let leaving: BTreeSet<TargetId> = targets.iter().filter(is_leaving).cloned().collect();
        if leaving.is_empty() {
            entry.move_at = None;
            return;
        }
        let grace = Duration::from_millis(self.settings.departure.grace_ms);
        let move_at = *entry.move_at.get_or_insert(now + grace);
        if let Some(moving) = &entry.moving {
            if now >= moving.until {
                self.replace(scope, request, "the move took too long");
            }
            return;
        }
        if now >= move_at {
            entry.move_at = Some(now + RETRY_INTERVAL);
            self.prepare(scope, request, &leaving);
        }
    }

    /// Takes in the end of a move. A failed one is replaced by prefill.
    pub fn cache_moved(
        &mut self,
        scope: &mut Scope,
        request: &RequestId,
        attempt: Attempt,
        from: &TargetId,
        result: &Result<u32, FailureKind>,
    ) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        // An answer that comes after the bound, or of an attempt that failed, changes nothing.
        let Some(moving) = entry.moving.as_mut().filter(|_| entry.attempt == attempt) else {
            return;
        };
        if !moving.awaiting.remove(from) {
            return;
        }
        match result {
            Err(kind) => self.replace(scope, request, &format!("the move failed: {kind:?}")),
            Ok(_) if moving.awaiting.is_empty() => {
                self.replace(scope, request, "the cache was moved");
            }
            Ok(_) => {}
        }
    }

    /// Chooses the new route and moves the caches of the leaving stages if that is cheaper than
    /// prefill.
    fn prepare(&mut self, scope: &mut Scope, request: &RequestId, leaving: &BTreeSet<TargetId>) {
        let now = scope.context.now;
        let is_suspect = self.is_suspect(now, request);
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        let query = entry.query(is_suspect);
        let random = &mut scope.context.random;
        let (Ok(mut choice), Some(old)) = (
            self.router.choose(&scope.view, &query, random),
            &entry.route,
        ) else {
            return;
        };
        keep_stages(&mut choice.route, old, leaving);
        let moves = moves(&choice.route, old, leaving);
        let tokens = query.prompt_tokens;
        let prefill_ms = self.prefill_ms(scope.members, &choice.route, tokens);
        let move_ms = moves.as_ref().map(|moves| {
            let times = moves.iter().map(|one| self.move_ms(scope, one, tokens));
            times.fold(0.0, f64::max)
        });
        let max_ms = self.settings.departure.move_max_ms;
        let is_cheaper = move_ms.is_some_and(|ms| ms < prefill_ms && ms <= max_ms as f64);
        let moves = moves.filter(|_| is_cheaper).unwrap_or_default();
        for (old, new) in &moves {
            let command = move_cache(entry, old, new);
            scope.context.push(command);
        }
        let moving = Moving {
            awaiting: moves.into_iter().map(|(old, _)| old.target).collect(),
            choice,
            until: now + Duration::from_millis(max_ms),
        };
        let is_prefill = moving.awaiting.is_empty();
        if let Some(entry) = self.entries.get_mut(request) {
            entry.moving = Some(moving);
        }
        let move_text = move_ms.map_or("not possible".into(), |ms| format!("{ms:.1} ms"));
        let reason =
            format!("leaving past the grace: move {move_text}, prefill {prefill_ms:.1} ms");
        scope.context.log("departure", request, reason);
        if is_prefill {
            self.replace(scope, request, "prefill is cheaper");
        }
    }

    /// Starts the prepared attempt, unless its engines are gone meanwhile.
    fn replace(&mut self, scope: &mut Scope, request: &RequestId, reason: &str) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let Some(moving) = entry.moving.take() else {
            return;
        };
        let takes_work = |stage: &Stage| {
            let target = scope.members.target(&stage.target);
            target.is_some_and(Target::takes_work)
        };
        if !moving.choice.route.stages.iter().all(takes_work) {
            scope
                .context
                .log("departure", request, "the replacement is gone");
            return;
        }
        scope.context.log("departure", request, reason);
        // The time to the next token includes prefill and says nothing of links.
        entry.delivered_at_failure = entry.delivered_tokens;
        let payload = Payload {
            choice: Some(moving.choice),
            ..Payload::default()
        };
        self.step(scope, request, RequestEvent::Replaced, payload);
    }

    /// Expected time of prefill over a route, in milliseconds.
    fn prefill_ms(&self, members: &Members, route: &Route, tokens: u32) -> f64 {
        let settings = &self.settings.route;
        let mut sum_ms = 0.0;
        for stage in &route.stages {
            if let Some(target) = members.target(&stage.target) {
                let layers = stage.layers.end - stage.layers.start;
                let rate = settings.default_rate_per_s;
                sum_ms += (self.router.rates).step_ms(target, layers, route.layer_count, rate);
            }
        }
        sum_ms * f64::from(tokens) / settings.prefill_speedup
    }

    /// Expected time of one move, in milliseconds.
    fn move_ms(&self, scope: &Scope, (old, new): &(Stage, Stage), tokens: u32) -> f64 {
        let settings = &self.settings.route;
        let ends = (
            scope.members.target(&old.target),
            scope.members.target(&new.target),
        );
        let (Some(from), Some(to)) = ends else {
            return f64::INFINITY;
        };
        let link_ms = self
            .router
            .links
            .cost_ms(scope.context.now, from, to, settings);
        let near_ms = settings.same_link_us.max(1) as f64 / 1_000.0;
        let layers = f64::from(old.layers.end - old.layers.start) * f64::from(tokens);
        layers / self.settings.departure.kv_layers_per_ms * (link_ms / near_ms).max(1.0)
    }
}

fn move_cache(entry: &Entry, old: &Stage, new: &Stage) -> Command {
    Command::MoveCache {
        attempt: entry.attempt,
        from: old.target.clone(),
        from_address: old.address,
        request: entry.request.clone(),
        to: new.target.clone(),
        to_address: new.address,
    }
}

/// Puts the engines that stay back into a new route, where the layers are the same: they have
/// their part of the cache already.
fn keep_stages(route: &mut Route, old: &Route, leaving: &BTreeSet<TargetId>) {
    for stage in &mut route.stages {
        let mut same = old.stages.iter().filter(|old| old.layers == stage.layers);
        if let Some(old) = same.find(|old| !leaving.contains(&old.target)) {
            *stage = old.clone();
        }
    }
}

/// Pairs of leaving and new stage; none when the routes divide the layers differently, so that
/// no cache fits.
fn moves(route: &Route, old: &Route, leaving: &BTreeSet<TargetId>) -> Option<Vec<(Stage, Stage)>> {
    if route.stages.len() != old.stages.len() {
        return None;
    }
    let mut moves = Vec::new();
    for (old, new) in old.stages.iter().zip(&route.stages) {
        if old.layers != new.layers {
            return None;
        }
        if leaving.contains(&old.target) {
            moves.push((old.clone(), new.clone()));
        }
    }
    Some(moves)
}
