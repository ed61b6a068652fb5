use super::*;

/// Interval between two searches for a replacement route, each of which scores all targets.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// An attempt that is being prepared to replace one at an engine that is leaving.
#[derive(Clone, Debug)]
pub(crate) struct PendingReplacement {
    /// Leaving engines whose KV cache is still being moved.
    pending_moves: BTreeSet<TargetId>,
    choice: RouteChoice,
    /// Time at which the new attempt starts without the caches that were not moved by then.
    deadline: Duration,
}

impl Requests {
    /// Time by which the next `tick` is due because a cache move reaches its deadline; none while
    /// no cache is moved.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let replacement = self.entries.values().filter_map(|entry| {
            let replacement = entry.replacement.as_ref()?;
            Some(replacement.deadline)
        });
        replacement.min()
    }

    /// Replaces the attempt of a stream once an engine of it has been leaving for longer than the
    /// grace period. If no route is free, the stream continues where it is, because a leaving
    /// engine does not abort its streams.
    pub(crate) fn check_departure(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let now = env.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let targets = entry.targets();
        let is_leaving = |id: &&TargetId| {
            let target = env.members.target(id);
            target.is_some_and(|target| target.health == TargetHealth::Leaving)
        };
        let leaving: BTreeSet<TargetId> = targets.iter().filter(is_leaving).cloned().collect();
        if leaving.is_empty() {
            entry.replace_at = None;
            return;
        }
        let grace = Duration::from_millis(self.settings.departure.grace_ms);
        let replace_at = *entry.replace_at.get_or_insert(now + grace);
        if let Some(replacement) = &entry.replacement {
            if now >= replacement.deadline {
                self.start_replacement(env, request, "move timed out");
            }
            return;
        }
        if now >= replace_at {
            entry.replace_at = Some(now + SEARCH_INTERVAL);
            self.prepare_replacement(env, request, &leaving);
        }
    }

    /// Handles the end of a cache move. If it failed, the new attempt starts with prefill.
    pub fn cache_moved(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        attempt: Attempt,
        from: &TargetId,
        result: &Result<u32, FailureKind>,
    ) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        // A result after the deadline, or for an earlier attempt, has no effect.
        let Some(replacement) = entry
            .replacement
            .as_mut()
            .filter(|_| entry.attempt == attempt)
        else {
            return;
        };
        if !replacement.pending_moves.remove(from) {
            return;
        }
        match result {
            Err(kind) => self.start_replacement(env, request, &format!("move failed: {kind:?}")),
            Ok(_) if replacement.pending_moves.is_empty() => {
                self.start_replacement(env, request, "cache moved");
            }
            Ok(_) => {}
        }
    }

    /// Chooses the new route, and starts moving the KV caches of the leaving stages if that is
    /// expected to be faster than prefill and within the maximum move time.
    fn prepare_replacement(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        leaving: &BTreeSet<TargetId>,
    ) {
        let now = env.context.now;
        let is_suspect = self.is_suspect(now, request);
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        let query = entry.query(is_suspect);
        let random = &mut env.context.random;
        let (Ok(mut choice), Some(old)) =
            (self.router.choose(&env.view, &query, random), &entry.route)
        else {
            return;
        };
        reuse_staying_engines(&mut choice.route, old, leaving);
        let moves = cache_moves(&choice.route, old, leaving);
        let tokens = query.prompt_tokens;
        let prefill_ms = self.prefill_ms(env.members, &choice.route, tokens);
        let move_ms = moves.as_ref().map(|moves| {
            let times = moves
                .iter()
                .map(|pair| self.cache_move_ms(env, pair, tokens));
            times.fold(0.0, f64::max)
        });
        let max_ms = self.settings.departure.move_max_ms;
        let is_cheaper = move_ms.is_some_and(|ms| ms < prefill_ms && ms <= max_ms as f64);
        let moves = moves.filter(|_| is_cheaper).unwrap_or_default();
        for (old, new) in &moves {
            let command = move_cache(entry, old, new);
            env.context.push(command);
        }
        let replacement = PendingReplacement {
            pending_moves: moves.into_iter().map(|(old, _)| old.target).collect(),
            choice,
            deadline: now + Duration::from_millis(max_ms),
        };
        let is_prefill = replacement.pending_moves.is_empty();
        if let Some(entry) = self.entries.get_mut(request) {
            entry.replacement = Some(replacement);
        }
        let move_text = move_ms.map_or("not possible".into(), |ms| format!("{ms:.1} ms"));
        let reason =
            format!("grace period is over: cache move {move_text}, prefill {prefill_ms:.1} ms");
        env.context.log("departure", request, reason);
        if is_prefill {
            self.start_replacement(env, request, "prefill instead of a cache move");
        }
    }

    /// Starts the prepared attempt, unless an engine of it takes no more requests.
    fn start_replacement(&mut self, env: &mut RequestEnv, request: &RequestId, reason: &str) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let Some(replacement) = entry.replacement.take() else {
            return;
        };
        let accepts_work = |stage: &Stage| {
            let target = env.members.target(&stage.target);
            target.is_some_and(Target::accepts_work)
        };
        if !replacement.choice.route.stages.iter().all(accepts_work) {
            env.context.log(
                "departure",
                request,
                "an engine of the replacement takes no more requests",
            );
            return;
        }
        env.context.log("departure", request, reason);
        // The time to the next token includes prefill and does not show the cost of the links.
        entry.delivered_at_failure = entry.delivered_tokens;
        let payload = Payload {
            choice: Some(replacement.choice),
            ..Payload::default()
        };
        self.step(env, request, RequestEvent::Replaced, payload);
    }

    /// Expected time to prefill `tokens` tokens on a route, in milliseconds.
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

    /// Expected time to move the KV cache of `tokens` tokens from one stage to another, in
    /// milliseconds; infinite if an engine is unknown.
    fn cache_move_ms(&self, env: &RequestEnv, (old, new): &(Stage, Stage), tokens: u32) -> f64 {
        let settings = &self.settings.route;
        let ends = (
            env.members.target(&old.target),
            env.members.target(&new.target),
        );
        let (Some(from), Some(to)) = ends else {
            return f64::INFINITY;
        };
        let link_ms = self
            .router
            .links
            .cost_ms(env.context.now, from, to, settings);
        let local_link_ms = settings.same_link_us.max(1) as f64 / 1_000.0;
        let layers = f64::from(old.layers.end - old.layers.start) * f64::from(tokens);
        layers / self.settings.departure.kv_layers_per_ms * (link_ms / local_link_ms).max(1.0)
    }
}

fn move_cache(entry: &ActiveRequest, old: &Stage, new: &Stage) -> Command {
    Command::MoveCache {
        attempt: entry.attempt,
        from: old.target.clone(),
        from_address: old.address,
        request: entry.request.clone(),
        to: new.target.clone(),
        to_address: new.address,
    }
}

/// Keeps the engines of the old route that are not leaving, wherever a stage of the new route has
/// the same layers: they already hold their part of the KV cache.
fn reuse_staying_engines(route: &mut Route, old: &Route, leaving: &BTreeSet<TargetId>) {
    for stage in &mut route.stages {
        let mut same = old.stages.iter().filter(|old| old.layers == stage.layers);
        if let Some(old) = same.find(|old| !leaving.contains(&old.target)) {
            *stage = old.clone();
        }
    }
}

/// Pairs of a leaving stage and its replacement; none if the routes divide the layers differently,
/// because a KV cache only fits the same layers.
fn cache_moves(
    route: &Route,
    old: &Route,
    leaving: &BTreeSet<TargetId>,
) -> Option<Vec<(Stage, Stage)>> {
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
