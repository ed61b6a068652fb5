//! Simulation of nodes and targets in virtual time, for tests of whole requests.

#![allow(dead_code)]

pub mod builder;
mod query;
mod work;

use {
    control::{AdmissionSettings, CallQuery, Command, Event, Identity, Node, NodeSettings},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, SystemTime},
    },
    types::{
        Account, AttemptFailure, CallOutcome, CallReply, CallSubmission, FailureKind,
        GenerateSubmission, InstanceId, LayerRange, Listing, ListingRole, LoadReport, LoadedModel,
        OperationKind, OperatorLists, Plan, Refusal, RequestId, Route, Row, ServiceOperation,
        StoreFailure, StoreReply, StoreRequest, TargetId,
    },
};

use builder::{address, lists, node, service, targets};

const TIME_STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
pub struct Work {
    pub attempt: u32,
    pub is_call: bool,
    pub node: usize,
    pub request: RequestId,
    pub route: Vec<TargetId>,
    pub started_at: Option<Duration>,
}

pub struct Simulation {
    /// Requests that crash the first target that runs them.
    pub crashing_requests: BTreeSet<RequestId>,
    /// Node whose heartbeats are lost in both directions.
    pub isolated_node: Option<usize>,
    pub dead: BTreeSet<TargetId>,
    /// Run time of a request; 100 ms if not set.
    pub durations: BTreeMap<RequestId, Duration>,
    pub completed: Vec<(RequestId, Duration)>,
    /// Requests whose callers disconnected.
    pub disconnected: BTreeSet<RequestId>,
    pub is_store_down: bool,
    /// Whether the store loses writes, so that their result is unknown to the node.
    pub drops_writes: bool,
    pub listings: Vec<Listing>,
    pub log: Vec<(usize, Duration, Command)>,
    pub models: BTreeMap<TargetId, LoadedModel>,
    pub nodes: Vec<Node>,
    /// Regions of the failure domains, assigned in rotation.
    regions: &'static [&'static str],
    pub now: Duration,
    pub slots: u32,
    /// Whether a store that is down still answers reads.
    pub answers_reads: bool,
    pub work: Vec<Work>,
}

impl Simulation {
    /// Simulation with `domains` failure domains, each with one engine per stage of model `m` and one
    /// server of service `s`, and with the accounts `a` (weight 1) and `b` (weight 3).
    ///
    /// No requests are queued at targets, so that tests can count slots exactly.
    pub fn new(node_count: usize, domains: usize, stages: u32) -> Self {
        let admission = AdmissionSettings {
            target_queue_count: 0,
            ..AdmissionSettings::default()
        };
        Self::build(node_count, domains, stages, &admission, &["r"])
    }

    pub fn with_admission(
        node_count: usize,
        domains: usize,
        stages: u32,
        admission: &AdmissionSettings,
    ) -> Self {
        Self::build(node_count, domains, stages, admission, &["r"])
    }

    pub fn with_regions(
        node_count: usize,
        domains: usize,
        stages: u32,
        regions: &'static [&'static str],
    ) -> Self {
        let admission = AdmissionSettings {
            target_queue_count: 0,
            ..AdmissionSettings::default()
        };
        Self::build(node_count, domains, stages, &admission, regions)
    }

    fn build(
        node_count: usize,
        domains: usize,
        stages: u32,
        admission: &AdmissionSettings,
        regions: &'static [&'static str],
    ) -> Self {
        let mut simulation = Self {
            crashing_requests: BTreeSet::new(),
            isolated_node: None,
            dead: BTreeSet::new(),
            durations: BTreeMap::new(),
            completed: Vec::new(),
            disconnected: BTreeSet::new(),
            is_store_down: false,
            drops_writes: false,
            listings: Vec::new(),
            log: Vec::new(),
            models: BTreeMap::new(),
            nodes: Vec::new(),
            regions,
            now: Duration::ZERO,
            slots: 8,
            answers_reads: false,
            work: Vec::new(),
        };
        for index in 0..node_count {
            let role = ListingRole::Entry {
                peer_address: address(200 + index),
            };
            simulation.add_listing(&format!("n{index}"), index % domains, role);
            simulation
                .nodes
                .push(node(index, index % domains, admission.clone()));
        }
        for domain in 0..domains {
            for stage in 0..stages {
                simulation.add_engine(domain, stage, stages);
            }
            simulation.add_listing(&format!("s{domain}"), domain, service());
        }
        for index in 0..node_count {
            simulation.send(index, Event::ListsReceived(lists(64)));
        }
        simulation.run(2_500);
        simulation
    }

    pub fn send(&mut self, node: usize, event: Event) -> Vec<Command> {
        let commands = self.nodes[node].handle(self.now, event);
        for command in &commands {
            self.log.push((node, self.now, command.clone()));
        }
        for command in commands.clone() {
            self.execute(node, command);
        }
        commands
    }

    /// Submits a generation request to a node.
    pub fn submit(&mut self, node: usize, generate: GenerateSubmission) {
        self.send(node, Event::GenerateSubmitted(generate));
    }

    /// Runs the simulation for a number of milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TIME_STEP;
            self.finish_work();
            if self.now.as_millis().is_multiple_of(50) {
                for index in 0..self.nodes.len() {
                    self.send(index, Event::Ticked);
                }
            }
        }
    }

    /// Kills a target, which fails all its work.
    pub fn kill(&mut self, target: &str) {
        self.dead.insert(target.into());
        let (broken, rest) = self
            .work
            .drain(..)
            .partition(|work| work.route.iter().any(|id| &**id == target));
        self.work = rest;
        let broken: Vec<Work> = broken;
        for work in broken {
            self.fail(&work, target, FailureKind::Broken, 0);
        }
    }

    pub fn fail(&mut self, work: &Work, target: &str, kind: FailureKind, delivered: u32) {
        let event = Event::AttemptFailed {
            delivered_tokens: delivered,
            failure: AttemptFailure {
                attempt: work.attempt,
                kind,
                target: target.into(),
            },
            request: work.request.clone(),
        };
        self.send(work.node, event);
    }

    fn add_engine(&mut self, domain: usize, stage: u32, stages: u32) {
        let id = format!("e{domain}-{stage}");
        let layers = LayerRange {
            start: stage * 8,
            end: (stage + 1) * 8,
        };
        let model = LoadedModel {
            adapters: Vec::new(),
            layer_count: stages * 8,
            layers,
            model: "m".into(),
        };
        self.models.insert(id.as_str().into(), model);
        let role = ListingRole::Engine {
            accelerator: "k".into(),
            checks_fence: true,
        };
        self.add_listing(&id, domain, role);
    }

    fn add_listing(&mut self, id: &str, domain: usize, role: ListingRole) {
        let index = self.listings.len();
        self.listings.push(Listing {
            address: address(index),
            failure_domain: format!("d{domain}").into(),
            id: id.into(),
            incarnation: 1,
            leaving: false,
            region: self.regions[domain % self.regions.len()].into(),
            role,
        });
    }

    fn execute(&mut self, node: usize, command: Command) {
        match command {
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => self.answer_owner_query(node, owner, &query, request),
            Command::Cancel {
                attempt, request, ..
            } => {
                self.work
                    .retain(|work| work.request != request || work.attempt != attempt);
            }
            Command::DispatchCall {
                attempt,
                request,
                target,
                ..
            } => {
                self.start_work(node, attempt, request, vec![target], true);
            }
            Command::DispatchGenerate {
                attempt,
                request,
                route,
                ..
            } => {
                assert!(
                    route.is_complete(),
                    "route without all layers for {request}"
                );
                self.start_work(node, attempt, request, targets(&route), false);
            }
            Command::Poll { target, .. } => self.poll(node, &target),
            Command::ReadListing => {
                let listings = self.listings.clone();
                self.send(node, Event::ListingRead { listings });
            }
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                let index = index_of(&peer);
                if self.isolated_node != Some(index) && self.isolated_node != Some(node) {
                    self.send(index, Event::HeartbeatReceived(heartbeat));
                }
            }
            Command::Store { request, ticket } => self.answer_store_request(node, ticket, &request),
            _ => {}
        }
    }

    fn answer_owner_query(
        &mut self,
        node: usize,
        owner: InstanceId,
        query: &CallQuery,
        request: RequestId,
    ) {
        let status = self.nodes[index_of(&owner)].owner_status(query);
        let event = Event::OwnerAnswered {
            owner,
            request,
            status,
        };
        self.send(node, event);
    }

    fn start_work(
        &mut self,
        node: usize,
        attempt: u32,
        request: RequestId,
        route: Vec<TargetId>,
        is_call: bool,
    ) {
        let work = Work {
            attempt,
            is_call,
            node,
            request,
            route,
            started_at: None,
        };
        let dead = work
            .route
            .iter()
            .find(|id| self.dead.contains(*id))
            .cloned();
        if let Some(target) = dead {
            self.fail(&work, &target, FailureKind::Unreachable, 0);
            return;
        }
        let crashes_target = self.crashing_requests.contains(&work.request);
        let first = work.route[0].clone();
        self.work.push(work);
        if crashes_target {
            self.kill(&first);
        }
    }

    fn answer_store_request(&mut self, node: usize, ticket: u64, request: &StoreRequest) {
        let result = match request {
            StoreRequest::Transact { .. } if self.drops_writes => Err(StoreFailure::Ambiguous),
            StoreRequest::Transact { .. } if self.is_store_down => Err(StoreFailure::Unavailable),
            _ if self.is_store_down && !self.answers_reads => Err(StoreFailure::Unavailable),
            StoreRequest::Transact { .. } => Ok(StoreReply::Committed { version: 7 }),
            StoreRequest::Read { .. } => Ok(StoreReply::Rows { rows: Vec::new() }),
            StoreRequest::Scan { .. } => Ok(StoreReply::Rows {
                rows: vec![self.head(node)],
            }),
        };
        self.send(node, Event::StoreReplied { result, ticket });
    }

    /// Head row that confirms the version of the lists at the node.
    fn head(&self, node: usize) -> Row {
        Row {
            key: "config/head".into(),
            value: self.nodes[node].lists().version.to_string().into(),
            version: 1,
        }
    }

    fn poll(&mut self, node: usize, target: &TargetId) {
        if self.dead.contains(target) {
            let event = Event::LoadFailed {
                kind: FailureKind::Unreachable,
                target: target.clone(),
            };
            self.send(node, event);
            return;
        }
        let assigned = self.work.iter().filter(|work| work.route.contains(target));
        let count = assigned.count() as u32;
        let report = LoadReport {
            incarnation: 1,
            models: self.models.get(target).cloned().into_iter().collect(),
            rate_per_s: 50.0 * f64::from(count.min(self.slots)),
            running_count: count.min(self.slots),
            slot_count: self.slots,
            waiting_count: count.saturating_sub(self.slots),
            ..LoadReport::default()
        };
        let target = target.clone();
        self.send(node, Event::LoadReceived { report, target });
    }
}

fn index_of(peer: &str) -> usize {
    let number = peer[1..].parse();
    number.expect("peers are named n0, n1, and so on")
}
