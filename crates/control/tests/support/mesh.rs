//! Instances that exchange heartbeats and poll targets in virtual time.

use {
    super::{context, identity, ms},
    control::{Command, Context, MemberSettings, Members, OwnState},
    std::collections::BTreeMap,
    types::{FailureKind, Listing, LoadReport, TargetHealth, TargetId},
};

pub struct Mesh {
    pub instances: BTreeMap<String, (Members, Context)>,
    /// Platform's list, as every instance reads it.
    pub listings: Vec<Listing>,
    /// Number of polls since the last `run`, by target and instance.
    pub polls: BTreeMap<(String, String), u32>,
    /// Replies of live targets to polls; a target without one does not answer.
    pub reports: BTreeMap<TargetId, LoadReport>,
}

impl Mesh {
    pub fn new(listings: Vec<Listing>, reports: &[&str]) -> Self {
        let report = |name: &&str| {
            let report = LoadReport {
                incarnation: 1,
                slot_count: 4,
                ..LoadReport::default()
            };
            (TargetId::from(*name), report)
        };
        Self {
            instances: BTreeMap::new(),
            listings,
            polls: BTreeMap::new(),
            reports: reports.iter().map(report).collect(),
        }
    }

    pub fn start(&mut self, name: &str, domain: &str) {
        let mut own = identity(name, 1);
        own.failure_domain = domain.into();
        let members = Members::new(own, MemberSettings::default());
        let mut context = context(1);
        context.now = self
            .instances
            .values()
            .map(|one| one.1.now)
            .max()
            .unwrap_or_default();
        self.instances.insert(name.into(), (members, context));
    }

    pub fn run(&mut self, duration_ms: u64) {
        self.polls.clear();
        for _ in 0..duration_ms / 50 {
            let mut commands = Vec::new();
            for (name, (members, context)) in &mut self.instances {
                context.now += ms(50);
                let own = OwnState {
                    ready: true,
                    spare_count: 10,
                    ..OwnState::default()
                };
                members.tick(context, &own);
                let sent = context.commands.drain(..);
                commands.extend(sent.map(|command| (name.clone(), command)));
            }
            for (name, command) in commands {
                self.deliver(&name, command);
            }
        }
    }

    fn deliver(&mut self, name: &str, command: Command) {
        let (members, context) = self.instances.get_mut(name).unwrap();
        match command {
            Command::Poll { target, .. } => {
                *self
                    .polls
                    .entry((target.to_string(), name.into()))
                    .or_default() += 1;
                match self.reports.get(&target) {
                    None => members.load_failed(context, &target, FailureKind::Silent),
                    Some(report) => members.load_received(context, &target, report.clone()),
                }
            }
            Command::ReadListing => members.listing_read(context, self.listings.clone()),
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                if let Some((members, context)) = self.instances.get_mut(&*peer) {
                    members.heartbeat_received(context, &heartbeat);
                }
            }
            _ => {}
        }
    }

    /// Health of a target as each instance sees it.
    pub fn health(&self, target: &str) -> Vec<TargetHealth> {
        let of = |members: &Members| members.target(&target.into()).unwrap().health;
        self.instances
            .values()
            .map(|(members, _)| of(members))
            .collect()
    }

    pub fn unexpected_count(&self) -> u64 {
        self.instances
            .values()
            .map(|(_, context)| context.unexpected_count)
            .sum()
    }
}
