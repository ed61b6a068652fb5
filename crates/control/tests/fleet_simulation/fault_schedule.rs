//! Schedules of requests and faults, and their execution.

use {
    super::*,
    crate::node_simulation::builder::{call, generate},
    types::{Account, Change, OperationKind, Plan},
};

#[derive(Clone, Debug)]
pub enum Action {
    Call(usize, OperationKind, usize),
    Crash(usize),
    CutLink(usize, usize),
    CutTableLink(usize),
    Edit(usize),
    Generate(usize),
    Heal,
    Kill(usize),
    KillTarget(usize),
    SetListingLag(u64),
    MarkLeaving(usize),
    LoseMessages,
    LoseReplies,
    Pause(usize),
    RestartTarget(usize),
    Resend(usize, RequestId),
    Resume(usize),
    Setup(&'static str),
    Start(usize),
    TableDown(bool),
    RestoreLink(usize, usize),
}

/// Schedule of a seed: requests over 7 s, with one to three faults among them, and the end of all
/// faults at 11 s.
pub fn schedule(seed: u64) -> Vec<(u64, Action)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut actions = vec![
        (1_200, Action::Setup("a")),
        (1_400, Action::Setup("b")),
        (11_000, Action::Heal),
    ];
    let mut at = 2_500;
    while at < 9_500 {
        let node = random.random_range(0..INSTANCE_COUNT);
        let key = random.random_range(0..8);
        actions.push((
            at,
            match random.random_range(0..10) {
                0..4 => Action::Call(node, OperationKind::NonRepeatable, key),
                4 => Action::Call(node, OperationKind::Idempotent, key),
                5 => Action::Edit(node),
                _ => Action::Generate(node),
            },
        ));
        at += random.random_range(10..300);
    }
    for _ in 0..random.random_range(1..=3) {
        add_fault(&mut random, &mut actions);
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

fn add_fault(random: &mut ChaCha8Rng, actions: &mut Vec<(u64, Action)>) {
    let at = random.random_range(2_500..8_000);
    let end = at + random.random_range(200..6_000);
    let node = random.random_range(0..INSTANCE_COUNT);
    let other = (node + random.random_range(1..INSTANCE_COUNT)) % INSTANCE_COUNT;
    let target = random.random_range(0..9);
    match random.random_range(0..12) {
        0 => actions.extend([(at, Action::Kill(node)), (end, Action::Start(node))]),
        1 | 2 => actions.extend([(at, Action::Pause(node)), (end, Action::Resume(node))]),
        3 => actions.extend([
            (at, Action::KillTarget(target)),
            (end, Action::RestartTarget(target)),
        ]),
        4 => actions.extend([
            (at, Action::CutLink(node, other)),
            (end, Action::RestoreLink(node, other)),
        ]),
        5 => actions.extend(
            (0..INSTANCE_COUNT)
                .filter(|peer| *peer != node)
                .map(|peer| (at, Action::CutLink(node, peer))),
        ),
        6 => actions.push((at, Action::CutTableLink(node))),
        7 => actions.extend([
            (at, Action::TableDown(true)),
            (end, Action::TableDown(false)),
        ]),
        8 => actions.push((at, Action::LoseReplies)),
        9 => actions.extend([
            (at, Action::SetListingLag(end - at)),
            (at, Action::LoseMessages),
        ]),
        10 => actions.extend([0, 10, 100, 1_800, 2_500].map(|later| {
            (
                at + later,
                Action::Crash(if later == 100 { other } else { node }),
            )
        })),
        _ => actions.extend([
            (at, Action::MarkLeaving(target)),
            (at + 2_000, Action::SetListingLag(300)),
        ]),
    }
}

impl Simulation {
    /// Runs a schedule to its end and returns the simulation, with the violations that were found.
    pub fn run_schedule(
        seed: u64,
        router_factory: RouterFactory,
        actions: &[(u64, Action)],
    ) -> Self {
        let mut simulation = Self::new(seed, router_factory);
        for (at, action) in actions {
            simulation.run(ms(*at));
            simulation.apply_action(action.clone());
        }
        simulation.run(ms(22_000));
        let is_connected = !actions.iter().any(|(_, action)| {
            matches!(
                action,
                Action::CutLink(..) | Action::Kill(_) | Action::LoseMessages | Action::Pause(_)
            )
        });
        simulation
            .checker
            .check_end(&simulation.instances, is_connected);
        simulation
    }

    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Call(node, kind, key) => self.submit_call(node, kind, key),
            Action::Crash(node) => self.submit_generation(node, "x", 666),
            Action::CutLink(left, right) => {
                self.cut_links.insert((left.min(right), left.max(right)));
            }
            Action::CutTableLink(node) => {
                self.cut_off_from_table.insert(node);
            }
            Action::Edit(node) => self.submit_edit(node),
            Action::Generate(node) => self.submit_generation(node, "g", 0),
            Action::Heal => self.heal(),
            Action::Kill(node) => self.kill_instance(node),
            Action::KillTarget(index) => {
                let id = self.target_id(index);
                self.kill(&id);
            }
            Action::SetListingLag(listing_lag) => self.listing_lag = ms(listing_lag.min(1_500)),
            Action::MarkLeaving(index) => {
                let id = self.target_id(index);
                if let Some(backend) = self.backends.get_mut(&id) {
                    backend.listing.leaving = true;
                }
                self.record_listing();
            }
            Action::LoseMessages => self.is_lossy = true,
            Action::LoseReplies => self.loses_replies = true,
            Action::Pause(node) => self.instances[node].is_paused = true,
            Action::Resend(node, request) => self.resend(node, &request),
            Action::RestartTarget(index) => {
                let id = self.target_id(index);
                self.restart(&id);
            }
            Action::Resume(node) if self.instances[node].is_paused => self.resume(node),
            Action::Setup(name) => self.submit_setup_edit(name),
            Action::Start(node) if self.instances[node].router.is_none() => self.start(node),
            Action::Resume(_) | Action::Start(_) => {}
            Action::TableDown(is_down) => self.table_down = is_down,
            Action::RestoreLink(left, right) => {
                self.cut_links.remove(&(left.min(right), left.max(right)));
            }
        }
    }

    fn target_id(&self, index: usize) -> TargetId {
        self.backends
            .keys()
            .nth(index)
            .expect("there are nine targets")
            .clone()
    }

    fn is_up(&self, node: usize) -> bool {
        self.instances[node].router.is_some()
    }

    fn next_name(&mut self, kind: &str) -> String {
        self.last_number += 1;
        format!("{kind}{}", self.last_number)
    }

    fn submit_call(&mut self, node: usize, kind: OperationKind, key: usize) {
        if !self.is_up(node) {
            return;
        }
        let mut submission = call("a", &self.next_name("c"), kind);
        submission.deadline = ms(3_000);
        submission.key = submission.key.map(|_| format!("k{key}").into());
        self.checker.record_submission(
            self.now,
            node,
            &submission.request,
            submission.key.as_deref(),
        );
        self.push_event(node, 0, Event::CallSubmitted(submission));
    }

    fn submit_generation(&mut self, node: usize, kind: &str, fingerprint: u64) {
        if !self.is_up(node) {
            return;
        }
        let mut submission = generate("a", &self.next_name(kind));
        submission.deadline = ms(5_000);
        if fingerprint > 0 {
            submission.fingerprint = fingerprint;
        }
        self.checker
            .record_submission(self.now, node, &submission.request, None);
        self.push_event(node, 0, Event::GenerateSubmitted(submission));
    }

    fn submit_setup_edit(&mut self, name: &str) {
        let change = Change::PutPlan {
            id: name.into(),
            plan: Plan::default(),
        };
        let account = Account {
            plan: "a".into(),
            ..Account::default()
        };
        let second = Change::PutAccount {
            account,
            id: name.into(),
        };
        let (change, operation) = if name == "a" {
            (change, "a")
        } else {
            (second, "b")
        };
        let event = Event::EditSubmitted {
            base_version: None,
            change,
            operation: operation.into(),
        };
        self.push_event(0, 0, event);
    }

    fn submit_edit(&mut self, node: usize) {
        let operation = self.next_name("edit");
        let account = Account {
            plan: "a".into(),
            ..Account::default()
        };
        let change = Change::PutAccount {
            account,
            id: operation.as_str().into(),
        };
        let event = Event::EditSubmitted {
            base_version: None,
            change,
            operation: operation.into(),
        };
        self.push_event(node, 0, event.clone());
        // The same edit is submitted at another instance at the same time and must have the same
        // result.
        self.push(
            (node + 1) % INSTANCE_COUNT,
            Duration::ZERO,
            Task::Event(event),
        );
    }

    /// Stops an instance. Its callers submit their streams and keys again at another one.
    fn kill_instance(&mut self, node: usize) {
        if !self.is_up(node) {
            return;
        }
        self.stop(node);
        let other = (node + 1) % INSTANCE_COUNT;
        for request in self.checker.orphans(node) {
            self.push(other, ms(400), Task::Action(Action::Resend(other, request)));
        }
    }

    fn resend(&mut self, node: usize, request: &RequestId) {
        if !self.is_up(node) {
            return;
        }
        if let Some(key) = self.checker.key_of(request) {
            let key = key[1..].parse().unwrap_or_default();
            return self.submit_call(node, OperationKind::NonRepeatable, key);
        }
        if request.starts_with('g') {
            let mut submission = generate("a", request);
            submission.delivered_tokens = self.checker.token_count(request);
            self.checker
                .record_submission(self.now, node, request, None);
            self.push_event(node, 0, Event::GenerateSubmitted(submission));
        }
    }

    fn heal(&mut self) {
        (self.table_down, self.loses_replies, self.is_lossy) = (false, false, false);
        self.listing_lag = Duration::ZERO;
        self.cut_links.clear();
        self.cut_off_from_table.clear();
        for node in 0..INSTANCE_COUNT {
            if !self.is_up(node) {
                self.start(node);
            } else if self.instances[node].is_paused {
                self.resume(node);
            }
        }
        for index in 0..9 {
            let id = self.target_id(index);
            self.restart(&id);
        }
    }
}
