//! Guards against broken promises and unserved callers while the links of changing instances to all targets
//! are cut in changing ways, and targets come and go. `SOAK_SEED=N` repeats a seed, and `SOAK_SEEDS=N` runs N
//! fresh ones.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    support::{
        CallerRequest, TestRouter, TestTarget,
        cut::{Fault, Links},
        cut_system::{EVENTS, arrivals, instance, introduce, targets},
    },
    tokio::{task::JoinSet, time::sleep},
    tracing_mutex::stdsync::Mutex,
    wire::hyper::StatusCode,
};

/// Time after which an instance that is cut off must serve like the others.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// Time during which the service behind a cut is counted.
const COUNTING_TIME: Duration = Duration::from_secs(1);
/// Number of cuts.
const CUT_COUNT: usize = 2;
/// Number of callers of each instance.
const CALLER_COUNT: usize = 3;
const INSTANCES: [&str; 4] = ["one", "two", "three", "four"];

/// First attempts at one instance while they are counted.
#[derive(Default)]
struct Service {
    is_counted: AtomicBool,
    served: AtomicUsize,
    total: AtomicUsize,
}

impl Service {
    fn count(&self, is_served: bool) {
        if self.is_counted.load(Ordering::Relaxed) {
            self.total.fetch_add(1, Ordering::Relaxed);
            self.served.fetch_add(is_served.into(), Ordering::Relaxed);
        }
    }

    /// Share of the counted attempts that were served, and starts to count anew.
    fn take_share(&self) -> f64 {
        let total = self.total.swap(0, Ordering::Relaxed);
        self.served.swap(0, Ordering::Relaxed) as f64 / total.max(1) as f64
    }
}

/// Answers of a test: ids with the status, or none for a broken answer.
type Answers = Arc<Mutex<Vec<(String, Option<StatusCode>)>>>;

async fn call(router: &TestRouter, id: &str) -> Option<StatusCode> {
    let request = CallerRequest {
        id: id.to_owned().leak(),
        ..CallerRequest::default()
    };
    let mut reply = router.open(request).await.ok()?;
    let body = reply.read(support::LIMIT, 1_000_000).await.ok()?;
    if reply.status.is_success() {
        assert_eq!(body, EVENTS, "the answer to {id} is not whole");
    }
    Some(reply.status)
}

struct Soak {
    answers: Answers,
    instances: Vec<(Arc<TestRouter>, Arc<Links>, Arc<Service>)>,
    random: SmallRng,
    targets: Vec<TestTarget>,
}

impl Soak {
    async fn start(seed: u64, repeat: RepeatPolicy) -> Self {
        let targets = targets().await;
        let mut instances = Vec::new();
        for id in INSTANCES {
            let (router, links) = instance(id, repeat, &targets).await;
            instances.push((Arc::new(router), links, Arc::default()));
        }
        let list = INSTANCES.iter().zip(&instances);
        let list: Vec<(&str, &TestRouter)> = list.map(|(id, one)| (*id, &*one.0)).collect();
        introduce(&list).await;
        Self {
            answers: Answers::default(),
            instances,
            random: SmallRng::seed_from_u64(seed),
            targets,
        }
    }

    fn spawn_callers(&self, is_stopped: &Arc<AtomicBool>) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for (number, (router, _, service)) in self.instances.iter().enumerate() {
            for caller in 0..CALLER_COUNT {
                let (router, service) = (router.clone(), service.clone());
                let (answers, is_stopped) = (self.answers.clone(), is_stopped.clone());
                callers.spawn(async move {
                    for count in 0_u32.. {
                        if is_stopped.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("{number}-{caller}-{count}");
                        let status = call(&router, &id).await;
                        service.count(status == Some(StatusCode::OK));
                        answers.lock().unwrap().push((id, status));
                        sleep(Duration::from_millis(10)).await;
                    }
                });
            }
        }
        callers
    }

    /// Cuts the links of some instances, up to all but one, and compares the service there with that elsewhere.
    async fn cut(&mut self) -> Vec<String> {
        let fault = *[Fault::Refuse, Fault::Reset, Fault::Hang]
            .choose(&mut self.random)
            .unwrap();
        let cut_count = self.random.random_range(1..INSTANCES.len());
        let first = self.random.random_range(0..INSTANCES.len());
        let cut: Vec<usize> = (first..first + cut_count)
            .map(|number| number % INSTANCES.len())
            .collect();
        println!("{fault:?} at {cut:?}");
        for number in &cut {
            self.instances[*number].1.set(fault);
            sleep(Duration::from_millis(self.random.random_range(0..100))).await;
        }
        sleep(DETECTION_LIMIT).await;
        for (_, _, service) in &self.instances {
            service.take_share();
            service.is_counted.store(true, Ordering::Relaxed);
        }
        sleep(COUNTING_TIME).await;
        let mut violations = Vec::new();
        for (number, (_, links, service)) in self.instances.iter().enumerate() {
            service.is_counted.store(false, Ordering::Relaxed);
            let share = service.take_share();
            // In touch or not, each instance must serve two thirds as often as one that reaches all targets.
            if share < 2.0 / 3.0 {
                violations.push(format!("{fault:?} at {cut:?}: {number} served {share:.2}"));
            }
            links.set(Fault::None);
        }
        violations
    }
}

/// Runs one seed and returns the violations.
async fn run(seed: u64) -> Vec<String> {
    println!("SOAK_SEED={seed}");
    let repeats = [
        RepeatPolicy::Idempotent,
        RepeatPolicy::Once,
        RepeatPolicy::ResumableStream,
    ];
    let repeat = repeats[seed as usize % repeats.len()];
    let mut soak = Soak::start(seed, repeat).await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut callers = soak.spawn_callers(&is_stopped);
    let mut violations = Vec::new();
    for _ in 0..CUT_COUNT {
        sleep(Duration::from_millis(700)).await;
        violations.extend(soak.cut().await);
    }
    is_stopped.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.unwrap();
    }
    let arrivals = arrivals(&soak.targets);
    for (id, status) in soak.answers.lock().unwrap().iter() {
        let count = arrivals.get(id).copied().unwrap_or_default();
        let is_broken = match (repeat, status) {
            (RepeatPolicy::Once, Some(StatusCode::OK)) => count != 1,
            (RepeatPolicy::Once, Some(StatusCode::SERVICE_UNAVAILABLE)) => count != 0,
            (RepeatPolicy::Once, _) => count > 1,
            (_, Some(StatusCode::OK)) => count == 0,
            _ => false,
        };
        if is_broken {
            violations.push(format!(
                "{id} was answered with {status:?} and ran {count} times"
            ));
        }
    }
    violations
}

#[yare::parameterized(repeatable = { 3 }, once = { 1 }, stream = { 2 })]
#[test_macro(tokio::test)]
async fn cut_links_break_no_promise(default_seed: u64) {
    let seed = std::env::var("SOAK_SEED").ok();
    let seed = seed.and_then(|text| text.parse().ok());
    assert_eq!(
        run(seed.unwrap_or(default_seed)).await,
        Vec::<String>::new()
    );
}

/// Does nothing unless `SOAK_SEEDS` is set.
#[tokio::test]
async fn cut_links_break_no_promise_for_fresh_seeds() {
    let count = std::env::var("SOAK_SEEDS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = now.expect("a time after 1970").as_millis() as u64;
    let mut violations = Vec::new();
    for seed in first..first + count {
        let found = run(seed).await;
        println!("seed {seed}: {} violations {found:#?}", found.len());
        violations.extend(found.into_iter().map(|one| format!("seed {seed}: {one}")));
    }
    assert_eq!(violations, Vec::<String>::new());
}
