use super::*;

/// Engines that can be stages of a path.
struct Candidates<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Number of usable engines that hold layers, including those without memory for the request.
    holder_count: usize,
    /// Whether an engine that holds the first layer has no memory for the request.
    is_first_full: bool,
}

/// All listed targets with their state, as seen by one instance.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) by_id: HashMap<TargetId, TargetKey>,
    by_service: HashMap<ServiceName, Vec<TargetKey>>,
    pub(crate) departures: Departures,
    /// Number of instances that share the targets. Invariant: at least 1 once it was set.
    instance_count: usize,
    pub(crate) peer_loads: PeerLoads,
    pub(crate) link_loads: LinkLoads,
    pub(crate) settings: FleetSettings,
    pub(crate) targets: SlotMap<TargetKey, TargetState>,
}

impl Fleet {
    /// Creates an empty fleet.
    #[must_use]
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            instance_count: 1,
            settings,
            ..Self::default()
        }
    }

    /// Sets the number of instances that share the targets.
    pub fn set_instance_count(&mut self, count: usize) {
        self.instance_count = count.max(1);
    }

    /// Whether no target is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Replaces the list of targets. The state of a target is kept as long as the same incarnation of it
    /// stays listed.
    pub fn set_targets(&mut self, now: Duration, listing: &[Target]) {
        let listed: HashMap<&str, Incarnation> = listing
            .iter()
            .map(|target| (&*target.id, target.incarnation))
            .collect();
        let targets = &mut self.targets;
        self.by_id.retain(|id, key| {
            let known = targets.get(*key).map(|state| state.target.incarnation);
            let is_listed = known.is_some() && listed.get(&**id).copied() == known;
            if !is_listed {
                targets.remove(*key);
            }
            is_listed
        });
        for target in listing {
            let known = self
                .by_id
                .get(&target.id)
                .and_then(|key| targets.get_mut(*key));
            if let Some(state) = known {
                state.target.clone_from(target);
                continue;
            }
            let mut state = TargetState::new(target.clone());
            state.availability.is_leaving =
                self.departures.contains(&target.id, target.incarnation);
            let key = targets.insert(state);
            self.by_id.insert(target.id.clone(), key);
        }
        self.mark_replaced();
        self.by_service.clear();
        for (key, state) in &self.targets {
            let keys = self.by_service.entry(state.target.service.clone());
            keys.or_default().push(key);
        }
        let by_id = &self.by_id;
        self.departures.expire(now, |id| by_id.contains_key(id));
    }

    /// Chooses a target of a service without a model: the least loaded one. Targets that recently failed
    /// are chosen only if there are no others.
    ///
    /// # Errors
    ///
    /// Returns `NoPath::NoTarget` when no usable target is listed, and `NoPath::Paused` when all of them
    /// asked to receive no requests for a while.
    pub fn choose_target(
        &self,
        now: Duration,
        service: &str,
        demand: &Demand,
        rng: &mut impl Rng,
    ) -> Result<Path, NoPath> {
        let mut best: Option<(bool, f64, TargetKey)> = None;
        for (key, state) in self.usable(now, service, demand) {
            if state.denial.wait(now) > demand.max_permit_wait {
                continue;
            }
            let jitter = rng.random_range(0.0..self.settings.jitter_share);
            let load = state.utilization(now, self.instance_factor(), &self.settings) + jitter;
            let candidate = (state.health.is_avoided(now), load, key);
            if best.is_none_or(|best| (candidate.0, candidate.1) < (best.0, best.1)) {
                best = Some(candidate);
            }
        }
        let Some((_, _, key)) = best else {
            if let Some(wait) = self.permit_wait(now, service, demand) {
                return Err(NoPath::RateLimited(wait));
            }
            return Err(self.unavailable_reason(now, service));
        };
        Ok(Path {
            cost_ms: 0.0,
            first_event_ms: 0.0,
            hop_bits: 0.0,
            stages: vec![self.stage(key, None)],
            tokens: 0.0,
        })
    }

    /// Chooses a path through the layers of a model.
    ///
    /// # Errors
    ///
    /// Returns `NoPath::NoTarget` when no usable engine is listed, `NoPath::Incomplete` when no usable
    /// engine holds some of the layers, `NoPath::Full` when the engines have no memory left for the
    /// request or the first event would come later than `demand` allows, and `NoPath::Paused` when
    /// engines that are needed asked to receive no requests for a while.
    pub fn choose_path(
        &self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        demand: &Demand,
        local_domain: &DomainName,
        rng: &mut impl Rng,
    ) -> Result<Path, NoPath> {
        let Candidates {
            candidates,
            holder_count,
            is_first_full,
        } = self.candidates(now, service, profile, demand, rng);
        let is_any_full = candidates.len() < holder_count;
        let domains = candidates
            .iter()
            .map(|candidate| &candidate.state.target.domain);
        let domains = domains.chain(std::iter::once(local_domain));
        let transfer_times = TransferTimes::new(self, now, profile, demand, domains);
        let finder = PathFinder {
            candidates,
            demand,
            local_domain,
            profile,
            transfer_times,
        };
        let Some((stages, cost_ms)) = finder.find() else {
            if let Some(wait) = self.layers_pause_left(now, service, profile) {
                return Err(NoPath::Paused(wait));
            }
            // An engine that is full has capacity again within milliseconds, and needs no permit.
            let permit_wait = finder.permit_wait(now).filter(|_| !is_first_full);
            return Err(match (permit_wait, holder_count, is_any_full) {
                (Some(wait), ..) => NoPath::RateLimited(wait),
                (None, 0, _) => NoPath::NoTarget,
                (None, _, false) => NoPath::Incomplete,
                (None, _, true) => NoPath::Full,
            });
        };
        let first_event_ms = finder.first_event_ms(&stages);
        let limit_ms = demand.first_event_limit_ms;
        if limit_ms.is_some_and(|limit_ms| first_event_ms > limit_ms) {
            return Err(NoPath::Full);
        }
        let stages = stages.into_iter();
        let stages = stages.map(|(at, range)| self.stage(finder.candidates[at].key, Some(range)));
        Ok(Path {
            cost_ms,
            first_event_ms,
            hop_bits: demand.tokens() * profile.activation_bytes * 8.0,
            stages: stages.collect(),
            tokens: demand.tokens(),
        })
    }

    /// Returns the engines that can be stages.
    fn candidates(
        &self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
        demand: &Demand,
        rng: &mut impl Rng,
    ) -> Candidates<'_> {
        let mut candidates = Vec::new();
        let mut holder_count = 0;
        let mut is_first_full = false;
        for (key, state) in self.usable(now, service, demand) {
            let Some(held) = state.target.held.filter(|_| !state.health.is_avoided(now)) else {
                continue;
            };
            let Some(hardware) = state.hardware(profile) else {
                continue;
            };
            holder_count += 1;
            let jitter = 1.0 + rng.random_range(0.0..self.settings.jitter_share);
            let is_first = demand
                .pinned_first
                .as_ref()
                .is_some_and(|first| first.key == key);
            let layer_ms = self.layer_ms(now, state, profile, hardware, demand);
            let layer_ms = layer_ms.filter(|_| !state.health.is_full(now));
            // The first stage already holds the memory of a request that it runs.
            let Some((layer_ms, prefill_layer_ms)) = layer_ms.or(is_first.then_some((0.0, 0.0)))
            else {
                is_first_full |= held.contains(0);
                continue;
            };
            candidates.push(Candidate {
                can_be_first: state.denial.wait(now) <= demand.max_permit_wait,
                state,
                held,
                key,
                layer_ms: layer_ms * jitter,
                prefill_layer_ms,
            });
        }
        Candidates {
            candidates,
            holder_count,
            is_first_full,
        }
    }

    /// Adds a request that is sent along a path to the load of its targets and links.
    pub fn add_request(&mut self, now: Duration, path: &Path) {
        for pair in path.stages.windows(2) {
            if pair[0].domain != pair[1].domain {
                self.link_loads
                    .record(now, &pair[0].domain, &pair[1].domain, path.hop_bits);
            }
        }
        for stage in &path.stages {
            let Some(state) = self.targets.get_mut(stage.key) else {
                continue;
            };
            state.in_flight_count += 1;
            let token_layers = stage.layer_count() * path.tokens;
            state.unshared_token_layers += token_layers;
            state.token_layers += token_layers;
        }
    }

    /// Removes a request that has ended from the load of its targets.
    pub fn remove_request(&mut self, path: &Path) {
        for stage in &path.stages {
            let Some(state) = self.targets.get_mut(stage.key) else {
                continue;
            };
            state.in_flight_count = state.in_flight_count.saturating_sub(1);
            state.token_layers = (state.token_layers - stage.layer_count() * path.tokens).max(0.0);
        }
    }

    /// Factor from the load of this instance to that of all instances, if all send as much.
    pub(crate) fn instance_factor(&self) -> f64 {
        self.instance_count as f64
    }

    /// Returns the targets of a service that accept requests now.
    pub(crate) fn usable(
        &self,
        now: Duration,
        service: &str,
        demand: &Demand,
    ) -> Vec<(TargetKey, &TargetState)> {
        let mut usable = self.not_leaving(now, service, demand);
        usable.retain(|(_, state)| state.availability.accepts_requests(now));
        usable
    }

    /// Returns the targets of a service that are neither leaving nor excluded and have not ended, including those
    /// that asked to receive no requests for a while.
    pub(crate) fn not_leaving(
        &self,
        now: Duration,
        service: &str,
        demand: &Demand,
    ) -> Vec<(TargetKey, &TargetState)> {
        let mut not_leaving = Vec::new();
        for key in self.by_service.get(service).into_iter().flatten() {
            let Some(state) = self.targets.get(*key) else {
                continue;
            };
            let is_over = state.is_leaving() || state.availability.has_ended(now);
            if is_over || demand.excluded.contains(key) {
                continue;
            }
            not_leaving.push((*key, state));
        }
        not_leaving
    }

    /// Returns the time that one layer of an engine adds to an answer, in milliseconds, and the part of
    /// it that the prefill takes; none if the engine has no memory left for the request.
    fn layer_ms(
        &self,
        now: Duration,
        state: &TargetState,
        profile: &EngineProfile,
        hardware: &HardwareKind,
        demand: &Demand,
    ) -> Option<(f64, f64)> {
        let settings = &self.settings;
        let max_memory_share = match demand.keeps_urgent_reserve {
            false => settings.max_memory_share,
            true => settings.max_memory_share - settings.urgent_reserve_share,
        };
        let capacity = state.token_layer_capacity(profile) * max_memory_share;
        let own_count = f64::from(state.in_flight_count);
        let (used, running) = match self.peer_loads.get(now, &state.target.id) {
            // Without reports, the other instances are assumed to send as much as this one.
            None => (
                state.token_layers * self.instance_factor(),
                own_count * self.instance_factor(),
            ),
            Some(peer_loads) => (
                state.token_layers + peer_loads.token_layers,
                own_count + peer_loads.in_flight_count,
            ),
        };
        let held = f64::from(state.target.held.map_or(0, LayerRange::count));
        // Assumes the worst case that the request uses the whole range of the engine.
        let memory_use = (used + demand.tokens() * held) / capacity.max(1.0);
        if memory_use > 1.0 {
            return None;
        }
        let context = demand.tokens() / 1_000.0 * profile.context_ms_per_thousand;
        let step_ms = profile.step_ms + running * (profile.step_ms_per_request + context);
        let step_ms = demand.answer_tokens * step_ms * hardware.pace * state.slowness();
        let prefill_ms = demand.prompt_tokens * hardware.read_factor * state.slowness() * 1_000.0;
        let prefill_ms = prefill_ms / profile.read_tokens_per_s.max(1.0);
        let layers = f64::from(profile.layer_count.max(1));
        // The other instances have probably sent about as much as this one since their last report. As
        // this is only an estimate, it raises the cost of the engine but never makes it count as full.
        let unshared_use =
            state.unshared_token_layers * (self.instance_factor() - 1.0) / capacity.max(1.0);
        let expected_use = memory_use + unshared_use;
        // Queueing time grows as the memory fills up.
        let per_layer = (1.0 + expected_use * expected_use) / layers;
        Some(((step_ms + prefill_ms) * per_layer, prefill_ms * per_layer))
    }

    /// Creates a stage of a listed target that runs `range`.
    /// A listed target as a stage that runs `range`.
    ///
    /// # Panics
    ///
    /// Panics if the key is not that of a listed target.
    #[must_use]
    pub fn stage(&self, key: TargetKey, range: Option<LayerRange>) -> Stage {
        let target = &self.targets[key].target;
        Stage {
            address: target.address,
            domain: target.domain.clone(),
            id: target.id.clone(),
            incarnation: target.incarnation,
            key,
            range,
        }
    }
}
