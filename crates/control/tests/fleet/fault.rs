//! Schedules of requests and faults.

use {
    super::*,
    crate::world::builder::{call, generate},
    types::{Account, Change, OperationKind, Plan},
};

#[derive(Clone, Debug)]
pub enum Act {
    Call(usize, OperationKind, usize),
    Crash(usize),
    Cut(usize, usize),
    CutTable(usize),
    Edit(usize),
    Generate(usize),
    Heal,
    Kill(usize),
    KillTarget(usize),
    Lag(u64),
    Leave(usize),
    Lossy,
    LostReplies,
    Pause(usize),
    RestartTarget(usize),
    Resend(usize, RequestId),
    Resume(usize),
    Setup(&'static str),
    Start(usize),
    TableDown(bool),
    Uncut(usize, usize),
}

/// Requests over 7 s, with one to three faults among them, and an end of all faults at 11 s.
pub fn schedule(seed: u64) -> Vec<(u64, Act)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut acts = vec![
        (1_200, Act::Setup("a")),
        (1_400, Act::Setup("b")),
        (11_000, Act::Heal),
    ];
    let mut at = 2_500;
    while at < 9_500 {
        let node = random.random_range(0..ENTRY_COUNT);
        let key = random.random_range(0..8);
        acts.push((
            at,
            match random.random_range(0..10) {
                0..4 => Act::Call(node, OperationKind::NonRepeatable, key),
                4 => Act::Call(node, OperationKind::Idempotent, key),
                5 => Act::Edit(node),
                _ => Act::Generate(node),
            },
        ));
        at += random.random_range(10..300);
    }
    for _ in 0..random.random_range(1..=3) {
        add_fault(&mut random, &mut acts);
    }
    acts.sort_by_key(|(at, _)| *at);
    acts
}

fn add_fault(random: &mut ChaCha8Rng, acts: &mut Vec<(u64, Act)>) {
    let at = random.random_range(2_500..8_000);
    let end = at + random.random_range(200..6_000);
    let node = random.random_range(0..ENTRY_COUNT);
    let other = (node + random.random_range(1..ENTRY_COUNT)) % ENTRY_COUNT;
    let target = random.random_range(0..9);
    match random.random_range(0..12) {
        0 => acts.extend([(at, Act::Kill(node)), (end, Act::Start(node))]),
        1 | 2 => acts.extend([(at, Act::Pause(node)), (end, Act::Resume(node))]),
        3 => acts.extend([
            (at, Act::KillTarget(target)),
            (end, Act::RestartTarget(target)),
        ]),
        4 => acts.extend([(at, Act::Cut(node, other)), (end, Act::Uncut(node, other))]),
        5 => acts.extend(
            (0..ENTRY_COUNT)
                .filter(|one| *one != node)
                .map(|one| (at, Act::Cut(node, one))),
        ),
        6 => acts.push((at, Act::CutTable(node))),
        7 => acts.extend([(at, Act::TableDown(true)), (end, Act::TableDown(false))]),
        8 => acts.push((at, Act::LostReplies)),
        9 => acts.extend([(at, Act::Lag(end - at)), (at, Act::Lossy)]),
        10 => acts.extend([0, 10, 100, 1_800, 2_500].map(|later| {
            (
                at + later,
                Act::Crash(if later == 100 { other } else { node }),
            )
        })),
        _ => acts.extend([(at, Act::Leave(target)), (at + 2_000, Act::Lag(300))]),
    }
}

impl Fleet {
    /// Runs the schedule of a seed to its end and returns the breaches.
    pub fn play(seed: u64, make: Make, acts: &[(u64, Act)]) -> Self {
        let mut fleet = Self::new(seed, make);
        for (at, act) in acts {
            fleet.run(ms(*at));
            fleet.act(act.clone());
        }
        fleet.run(ms(22_000));
        let is_connected = !acts.iter().any(|(_, act)| {
            matches!(
                act,
                Act::Cut(..) | Act::Kill(_) | Act::Lossy | Act::Pause(_)
            )
        });
        fleet.facts.finish(&fleet.entries, is_connected);
        fleet
    }

    pub(super) fn act(&mut self, act: Act) {
        match act {
            Act::Call(node, kind, key) => self.call(node, kind, key),
            Act::Crash(node) => self.prompt(node, "x", 666),
            Act::Cut(left, right) => {
                self.cuts.insert((left.min(right), left.max(right)));
            }
            Act::CutTable(node) => {
                self.table_cuts.insert(node);
            }
            Act::Edit(node) => self.edit(node),
            Act::Generate(node) => self.prompt(node, "g", 0),
            Act::Heal => self.heal(),
            Act::Kill(node) => self.kill_entry(node),
            Act::KillTarget(index) => {
                let id = self.target(index);
                self.kill(&id);
            }
            Act::Lag(lag) => self.lag = ms(lag.min(1_500)),
            Act::Leave(index) => {
                let id = self.target(index);
                if let Some(backend) = self.backends.get_mut(&id) {
                    backend.listing.leaving = true;
                }
                self.list();
            }
            Act::Lossy => self.is_lossy = true,
            Act::LostReplies => self.lost_replies = true,
            Act::Pause(node) => self.entries[node].is_paused = true,
            Act::Resend(node, request) => self.resend(node, &request),
            Act::RestartTarget(index) => {
                let id = self.target(index);
                self.restart(&id);
            }
            Act::Resume(node) if self.entries[node].is_paused => self.resume(node),
            Act::Setup(name) => self.setup(name),
            Act::Start(node) if self.entries[node].decide.is_none() => self.start(node),
            Act::Resume(_) | Act::Start(_) => {}
            Act::TableDown(is_down) => self.table_down = is_down,
            Act::Uncut(left, right) => {
                self.cuts.remove(&(left.min(right), left.max(right)));
            }
        }
    }

    fn target(&self, index: usize) -> TargetId {
        self.backends
            .keys()
            .nth(index)
            .expect("there are nine targets")
            .clone()
    }

    fn is_up(&self, node: usize) -> bool {
        self.entries[node].decide.is_some()
    }

    fn name(&mut self, kind: &str) -> String {
        self.number += 1;
        format!("{kind}{}", self.number)
    }

    fn call(&mut self, node: usize, kind: OperationKind, key: usize) {
        if !self.is_up(node) {
            return;
        }
        let mut submission = call("a", &self.name("c"), kind);
        submission.deadline = ms(3_000);
        submission.key = submission.key.map(|_| format!("k{key}").into());
        self.facts.submitted(
            self.now,
            node,
            &submission.request,
            submission.key.as_deref(),
        );
        self.event(node, 0, Event::CallSubmitted(submission));
    }

    fn prompt(&mut self, node: usize, kind: &str, fingerprint: u64) {
        if !self.is_up(node) {
            return;
        }
        let mut submission = generate("a", &self.name(kind));
        submission.deadline = ms(5_000);
        if fingerprint > 0 {
            submission.fingerprint = fingerprint;
        }
        self.facts
            .submitted(self.now, node, &submission.request, None);
        self.event(node, 0, Event::GenerateSubmitted(submission));
    }

    fn setup(&mut self, name: &str) {
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
        self.event(0, 0, event);
    }

    fn edit(&mut self, node: usize) {
        let operation = self.name("edit");
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
        self.event(node, 0, event.clone());
        // Operators race: the same edit at another instance must have the same result.
        self.push((node + 1) % ENTRY_COUNT, Duration::ZERO, Item::Event(event));
    }

    /// Callers of a lost instance come back elsewhere with their streams and keys.
    fn kill_entry(&mut self, node: usize) {
        if !self.is_up(node) {
            return;
        }
        self.stop(node);
        let other = (node + 1) % ENTRY_COUNT;
        for request in self.facts.orphans(node) {
            self.push(other, ms(400), Item::Act(Act::Resend(other, request)));
        }
    }

    fn resend(&mut self, node: usize, request: &RequestId) {
        if !self.is_up(node) {
            return;
        }
        if let Some(key) = self.facts.key_of(request) {
            let key = key[1..].parse().unwrap_or_default();
            return self.call(node, OperationKind::NonRepeatable, key);
        }
        if request.starts_with('g') {
            let mut submission = generate("a", request);
            submission.delivered_tokens = self.facts.tokens(request);
            self.facts.submitted(self.now, node, request, None);
            self.event(node, 0, Event::GenerateSubmitted(submission));
        }
    }

    fn heal(&mut self) {
        (self.table_down, self.lost_replies, self.is_lossy) = (false, false, false);
        self.lag = Duration::ZERO;
        self.cuts.clear();
        self.table_cuts.clear();
        for node in 0..ENTRY_COUNT {
            if !self.is_up(node) {
                self.start(node);
            } else if self.entries[node].is_paused {
                self.resume(node);
            }
        }
        for index in 0..9 {
            let id = self.target(index);
            self.restart(&id);
        }
    }
}
