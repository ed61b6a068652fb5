//! Simulated engines and services, and the work that they run.

use super::*;

pub const TOKEN_COUNT: u32 = 6;

pub struct Backend {
    pub is_dead: bool,
    pub layers: Option<LayerRange>,
    pub listing: Listing,
}

#[derive(Clone, Debug)]
pub struct Work {
    pub attempt: u32,
    /// Index of the first token that this attempt generates.
    pub first_token: u32,
    pub key: Option<String>,
    pub layers: Vec<LayerRange>,
    pub node: usize,
    pub request: RequestId,
    pub targets: Vec<TargetId>,
}

pub fn listing(
    id: &str,
    port: usize,
    domain: usize,
    incarnation: u64,
    role: ListingRole,
) -> Listing {
    Listing {
        address: address(port),
        failure_domain: format!("d{domain}").into(),
        id: id.into(),
        incarnation,
        leaving: false,
        region: "r".into(),
        role,
    }
}

/// Back ends in three failure domains, each with two engine stages and one server of the service.
pub fn backends() -> BTreeMap<TargetId, Backend> {
    let mut backends = BTreeMap::new();
    for domain in 0..3 {
        for stage in 0..3 {
            let is_service = stage == 2;
            let id = if is_service {
                format!("s{domain}")
            } else {
                format!("e{domain}-{stage}")
            };
            let engine = ListingRole::Engine {
                accelerator: "k".into(),
                checks_fence: domain == 0,
            };
            let role = if is_service { service() } else { engine };
            let start = stage as u32 * 8;
            let backend = Backend {
                is_dead: false,
                layers: (!is_service).then_some(LayerRange {
                    start,
                    end: start + 8,
                }),
                listing: listing(&id, 20 + domain * 3 + stage, domain, 1, role),
            };
            backends.insert(id.as_str().into(), backend);
        }
    }
    backends
}

impl Simulation {
    pub(super) fn poll(&mut self, index: usize, target: TargetId) {
        let backend = &self.backends[&target];
        let count = self
            .work
            .iter()
            .filter(|work| work.targets.contains(&target))
            .count() as u32;
        let models = backend.layers.map(|layers| LoadedModel {
            adapters: Vec::new(),
            layer_count: 16,
            layers,
            model: "m".into(),
        });
        let report = LoadReport {
            incarnation: backend.listing.incarnation,
            leaving: backend.listing.leaving,
            models: models.into_iter().collect(),
            rate_per_s: f64::from(count) * 30.0,
            running_count: count,
            slot_count: 8,
            ..LoadReport::default()
        };
        let kind = FailureKind::Unreachable;
        let event = match backend.is_dead {
            false => Event::LoadReceived { report, target },
            true => Event::LoadFailed { kind, target },
        };
        self.push_event(index, 4, event);
    }

    pub(super) fn dispatch(
        &mut self,
        node: usize,
        attempt: u32,
        request: RequestId,
        targets: Vec<TargetId>,
        layers: Vec<LayerRange>,
    ) {
        self.checker.check_dispatch(self.now, &request, &targets);
        let key = self.checker.key_of(&request);
        let mut first_token = 0;
        if !layers.is_empty() {
            first_token = self.checker.token_count(&request);
            let new = || (node, 0, Assembly::new(16, first_token));
            let (_, current, assembly) = self.assemblies.entry(request.clone()).or_insert_with(new);
            *current = u64::from(attempt);
            assembly.start_attempt(attempt);
        }
        let work = Work {
            attempt,
            first_token,
            key,
            layers,
            node,
            request,
            targets,
        };
        self.push(node, ms(2), Task::StartWork(work));
    }

    pub(super) fn start_work(&mut self, work: Work) {
        let dead = work
            .targets
            .iter()
            .find(|id| self.backends[*id].is_dead)
            .cloned();
        if let Some(target) = dead {
            return self.fail(&work, target, FailureKind::Unreachable);
        }
        if work.layers.is_empty() {
            self.checker.record_run(&work.request, work.key.clone());
        }
        self.work.push(work.clone());
        if work.request.starts_with('x') {
            let target = work.targets[0].clone();
            self.checker.record_crash(self.now, work.node);
            self.kill(&target);
            return;
        }
        let node = work.node;
        let duration_ms = if self.random_index(4) == 0 { 1_500 } else { 40 };
        if work.layers.is_empty() {
            return self.push(node, ms(duration_ms), Task::CompleteCall(work));
        }
        for index in work.first_token..TOKEN_COUNT {
            let delay = ms(duration_ms / 2 * u64::from(index - work.first_token + 1));
            self.push(node, delay, Task::Token(work.clone(), index));
        }
    }

    fn fail(&mut self, work: &Work, target: TargetId, kind: FailureKind) {
        if let Some((_, current, assembly)) = self.assemblies.get_mut(&work.request)
            && *current == u64::from(work.attempt)
        {
            assembly.stream_stopped();
        }
        let failure = AttemptFailure {
            attempt: work.attempt,
            kind,
            target,
        };
        let event = Event::AttemptFailed {
            delivered_tokens: self.checker.token_count(&work.request),
            failure,
            request: work.request.clone(),
        };
        self.push_event(work.node, 2, event);
    }

    /// Kills a target. A token that it sent before may still arrive after the failure.
    pub fn kill(&mut self, target: &TargetId) {
        if let Some(backend) = self.backends.get_mut(target) {
            backend.is_dead = true;
        }
        let broken = self
            .work
            .extract_if(.., |work| work.targets.contains(target));
        for work in broken.collect::<Vec<_>>() {
            self.fail(&work, target.clone(), FailureKind::Broken);
            if !work.layers.is_empty() {
                let next = self.checker.token_count(&work.request);
                self.push(work.node, ms(15), Task::Token(work, next));
            }
        }
    }

    pub fn restart(&mut self, target: &TargetId) {
        if let Some(backend) = self
            .backends
            .get_mut(target)
            .filter(|backend| backend.is_dead)
        {
            backend.is_dead = false;
            backend.listing.incarnation += 1;
            backend.listing.leaving = false;
            self.checker
                .record_target_start(target, backend.listing.incarnation);
            self.record_listing();
        }
    }

    fn remove_work(&mut self, work: &Work) -> bool {
        let is_same = |other: &mut Work| {
            other.request == work.request
                && other.attempt == work.attempt
                && other.node == work.node
        };
        self.work.extract_if(.., is_same).next().is_some()
    }

    pub(super) fn complete_call(&mut self, work: Work) {
        if self.remove_work(&work) {
            let reply = CallReply {
                body: "{}".into(),
                status: 200,
            };
            let event = Event::CallCompleted {
                attempt: work.attempt,
                reply,
                request: work.request,
            };
            self.send(work.node, event);
        }
    }

    /// Delivers a token to the instance, perhaps from an attempt that has failed in the meantime.
    pub(super) fn deliver_token(&mut self, work: &Work, index: u32) {
        let checks_tokens = self.instances[work.node]
            .router
            .as_ref()
            .is_some_and(|router| router.node().is_some());
        let Some((node, current, assembly)) = self.assemblies.get_mut(&work.request) else {
            return;
        };
        if *node != work.node {
            return;
        }
        let current = *current as u32;
        let text = format!("{}:{index}", work.attempt);
        let record = StreamRecord::Token(TokenRecord {
            attempt: work.attempt,
            index,
            layers: work.layers.clone(),
            text: text.as_str().into(),
        });
        let tokens = match assembly.accept(&record) {
            control::AssemblyStep::Deliver { tokens, .. } => tokens,
            _ if !checks_tokens => vec![text.into()],
            _ => Vec::new(),
        };
        for token in &tokens {
            self.checker.record_token(&work.request, current, token);
        }
        if !tokens.is_empty() {
            self.report_progress(work);
        }
    }

    /// Reports to the instance how many tokens its caller has, and completes the answer after the
    /// last one.
    fn report_progress(&mut self, work: &Work) {
        let delivered_tokens = self.checker.token_count(&work.request);
        let request = work.request.clone();
        if delivered_tokens >= TOKEN_COUNT {
            self.remove_work(work);
            self.assemblies.remove(&request);
            self.checker
                .record_final_answer(self.now, &request, "generated", None);
            let (attempt, token_count) = (work.attempt, delivered_tokens);
            self.send(
                work.node,
                Event::GenerateCompleted {
                    attempt,
                    request,
                    token_count,
                },
            );
        } else {
            self.send(
                work.node,
                Event::Progressed {
                    delivered_tokens,
                    request,
                },
            );
        }
    }
}
