use super::*;

/// Layers of the model, split evenly into two stages.
pub(crate) const LAYER_COUNT: u32 = 32;

/// Length of each prompt, in tokens.
const PROMPT_TOKENS: u32 = 200;

/// Step times of one stage on the three kinds of accelerators with an empty batch, in
/// milliseconds. A route over two stages of the slowest kind with full batches, including the
/// network, stays below 64 ms per token.
const STEP_TIMES_MS: [f64; 3] = [10.0, 14.0, 19.0];

/// Number of requests that one engine runs at once.
const SLOT_COUNT: u32 = 8;

/// A simulated deployment: the number of processes and accounts, and the mix of requests.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) account_count: usize,
    pub(crate) domain_count: usize,
    /// Number of engines of both stages together. Invariant: even.
    pub(crate) engine_count: usize,
    pub(crate) instance_count: usize,
    /// One in this many prompts has a long answer.
    pub(crate) long_one_in: u32,
    /// Mean length of long answers, in tokens.
    pub(crate) long_tokens: u32,
    /// Name on the command line and in the names of measures.
    pub(crate) name: &'static str,
    /// One in this many requests is a service call; 0 for no calls.
    pub(crate) service_call_one_in: u32,
    pub(crate) service_count: usize,
    /// Mean length of short answers, in tokens.
    pub(crate) short_tokens: u32,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            account_count: 10,
            domain_count: 3,
            engine_count: 40,
            instance_count: 8,
            long_one_in: 50,
            long_tokens: 1_000,
            name: "island",
            service_call_one_in: 8,
            service_count: 3,
            short_tokens: 40,
        }
    }
}

impl Scenario {
    /// The island deployment: many short drafts and a few long documents.
    pub(crate) fn island() -> Self {
        Self::default()
    }

    /// The region deployment: bursts of short questions and orders, so more service calls and fewer
    /// long answers than the island.
    pub(crate) fn region() -> Self {
        Self {
            long_one_in: 100,
            name: "region",
            service_call_one_in: 5,
            ..Self::default()
        }
    }

    /// The island deployment with `factor` times the accounts, engines and services, and twice the
    /// instances.
    pub(crate) fn scaled(factor: usize) -> Self {
        let scenario = Self::default();
        Self {
            account_count: scenario.account_count * factor,
            engine_count: scenario.engine_count * factor,
            instance_count: scenario.instance_count * 2,
            name: "scaled",
            service_count: scenario.service_count * factor,
            ..scenario
        }
    }

    pub(crate) fn account(index: usize) -> AccountId {
        format!("account-{index}").into()
    }

    pub(crate) fn domain(&self, index: usize) -> FailureDomain {
        format!("domain-{}", index % self.domain_count).into()
    }

    /// Operator lists that allow every account to use the model and the service, with limits that
    /// are never reached.
    pub(crate) fn lists(&self) -> OperatorLists {
        let mut lists = OperatorLists {
            version: 1,
            ..OperatorLists::default()
        };
        let plan = Plan {
            deadline_ms: DEADLINE.as_millis() as u64,
            max_concurrent_count: 10_000,
            max_queued_count: 10_000,
            models: ["model".into()].into(),
            services: ["orders".into()].into(),
            ..Plan::default()
        };
        lists.plans.insert("plan".into(), plan);
        for index in 0..self.account_count {
            let account = Account {
                plan: "plan".into(),
                ..Account::default()
            };
            lists.accounts.insert(Self::account(index), account);
        }
        lists
    }

    pub(crate) fn engines(&self) -> Vec<Engine> {
        let mut engines = Vec::new();
        for index in 0..self.engine_count {
            let half = LAYER_COUNT / 2;
            let is_first_stage = index < self.engine_count / 2;
            let kind = index % STEP_TIMES_MS.len();
            engines.push(Engine {
                alive: true,
                cached_prefixes: VecDeque::new(),
                layers: match is_first_stage {
                    false => LayerRange {
                        end: LAYER_COUNT,
                        start: half,
                    },
                    true => LayerRange {
                        end: half,
                        start: 0,
                    },
                },
                listing: self.listing(
                    format!("engine-{index}"),
                    20_000 + index,
                    // Distributes each kind of accelerator over the failure domains.
                    index / STEP_TIMES_MS.len(),
                    ListingRole::Engine {
                        accelerator: format!("kind-{kind}").into(),
                        checks_fence: index % 2 == 0,
                    },
                ),
                model: "model".into(),
                running: BTreeSet::new(),
                slot_count: SLOT_COUNT,
                step_time: Duration::from_secs_f64(STEP_TIMES_MS[kind] / 1_000.0),
                token_count: 0,
                waiting: Vec::new(),
            });
        }
        engines
    }

    pub(crate) fn services(&self) -> Vec<Service> {
        let mut services = Vec::new();
        for index in 0..self.service_count {
            let operation = |kind, name: &str| ServiceOperation {
                kind,
                name: name.into(),
            };
            let role = ListingRole::Service {
                operations: vec![
                    operation(OperationKind::Idempotent, "look"),
                    operation(OperationKind::NonRepeatable, "book"),
                ],
                service: "orders".into(),
            };
            services.push(Service {
                alive: true,
                executions: BTreeMap::new(),
                listing: self.listing(format!("service-{index}"), 30_000 + index, index, role),
                running_count: 0,
                slot_count: 8,
                call_duration: Duration::from_millis(20),
            });
        }
        services
    }

    pub(crate) fn identity(&self, index: usize) -> Identity {
        Identity {
            address: address(10_000 + index),
            failure_domain: self.domain(index),
            incarnation: 1,
            instance: format!("entry-{index}").into(),
            peer_address: address(11_000 + index),
            region: "region".into(),
        }
    }

    pub(crate) fn listing(
        &self,
        id: String,
        port: usize,
        domain: usize,
        role: ListingRole,
    ) -> Listing {
        Listing {
            address: address(port),
            failure_domain: self.domain(domain),
            id: id.into(),
            incarnation: 1,
            leaving: false,
            region: "region".into(),
            role,
        }
    }

    /// Number of requests that all engines of one stage run at once.
    pub(crate) fn slot_count(&self) -> usize {
        self.engine_count / 2 * SLOT_COUNT as usize
    }

    /// Mean length of the answers to prompts, in tokens.
    pub(crate) fn mean_tokens(&self) -> f64 {
        let long = 1.0 / f64::from(self.long_one_in);
        long * f64::from(self.long_tokens) + (1.0 - long) * f64::from(self.short_tokens)
    }

    /// Upper bound of the tokens per second of any routing: every slot is busy, the engines of both
    /// stages are paired in order of speed, each token takes two network latencies, and each answer
    /// takes the prefill of a cached prompt. Pairing in order of speed is optimal, because the rate
    /// of a pair, 1 / (a + b), has a positive mixed derivative in the two step times.
    pub(crate) fn token_bound_per_s(&self) -> f64 {
        let (first, second) = self.engine_step_times_s();
        let prefill_s =
            (PREFILL_TIME_PER_TOKEN * PROMPT_TOKENS).as_secs_f64() * CACHED_PREFILL_FRACTION;
        let per_token_s = 2.0 * LINK_LATENCY.as_secs_f64() + prefill_s / self.mean_tokens();
        let mut total = 0.0;
        for (first_s, second_s) in first.iter().zip(&second) {
            let steps_s = (first_s + second_s) * (1.0 + FULL_BATCH_SLOWDOWN);
            total += f64::from(SLOT_COUNT) / (steps_s + per_token_s);
        }
        total
    }

    /// Step times in seconds of the engines of the first and of the second stage with an empty
    /// batch, fastest first.
    fn engine_step_times_s(&self) -> (Vec<f64>, Vec<f64>) {
        let mut stages = (Vec::new(), Vec::new());
        for engine in self.engines() {
            let stage = match engine.layers.start {
                0 => &mut stages.0,
                _ => &mut stages.1,
            };
            stage.push(engine.step_time.as_secs_f64());
        }
        stages.0.sort_by(f64::total_cmp);
        stages.1.sort_by(f64::total_cmp);
        stages
    }

    /// Prompts per second that keep a share of `load` of all slots busy, including prefill.
    pub(crate) fn prompts_per_s(&self, load: f64) -> f64 {
        load * self.token_bound_per_s() / self.mean_tokens()
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        PROMPT_TOKENS
    }
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}
