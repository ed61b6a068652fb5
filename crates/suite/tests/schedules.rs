//! Tests of combined failures, which may cause errors that single failures do not: the loss of
//! whole failure domains under load, and random schedules of faults. `SUITE_SEED=N` repeats a
//! schedule.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    standin::{EngineSettings, Outage, PlatformFaults, ServiceFaults},
    std::time::Duration,
    suite::{Cluster, LinkState, LoadGenerator, Process, ReplyFault, ReplyFaults, Setup},
    tokio::time::sleep,
};

/// Number of faults in one schedule.
const FAULT_COUNT: usize = 5;
/// Number of kinds of faults without damaged replies.
const KIND_COUNT: i32 = 6;
/// Share of the exchanges with a service whose reply is damaged.
const DAMAGED_SHARE: f64 = 0.3;

fn setup() -> Setup {
    Setup {
        engine: EngineSettings {
            step_us: 10_000,
            ..EngineSettings::default()
        },
        entry_count: 4,
        ..Setup::default()
    }
}

/// One of two failure domains is killed under load and restarted, and then the other one is killed.
#[tokio::test]
async fn domains_lost_one_after_another() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(setup()).await?;
    let load = LoadGenerator::start(&cluster.caller()?, 4, 2);
    load.wait_for_progress(10).await?;
    cluster.kill_domain(0)?;
    load.wait_for_progress(10).await?;
    cluster.restart_domain(0).await?;
    // Before that, a stream may have both its owner and its backup in the domain that is killed
    // next, and would be lost with it.
    cluster.wait_until_peers_live().await?;
    // Lets every caller learn the addresses of the restarted instances. Otherwise it may know only
    // instances of the domain that is killed next.
    load.wait_for_progress_of_each(3).await?;
    cluster.kill_domain(1)?;
    load.wait_for_progress(10).await?;
    load.finish().await?;
    cluster.check().await
}

#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
#[test_macro(tokio::test)]
async fn faults_drawn_from_a_seed(default_seed: u64) {
    run(seed_or(default_seed), false).await.unwrap();
}

/// Guards against calls that run twice or get a wrong answer when services damage their replies.
#[yare::parameterized(four = { 4 }, five = { 5 }, six = { 6 })]
#[test_macro(tokio::test)]
async fn faults_and_damaged_replies_drawn_from_a_seed(default_seed: u64) {
    run(seed_or(default_seed), true).await.unwrap();
}

fn seed_or(default_seed: u64) -> u64 {
    let seed_text = std::env::var("SUITE_SEED").ok();
    let seed = seed_text.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(default_seed);
    println!("SUITE_SEED={seed}");
    seed
}

async fn run(seed: u64, has_damaged_replies: bool) -> anyhow::Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let cluster = Cluster::start(Setup {
        has_service_proxies: has_damaged_replies,
        ..setup()
    });
    let cluster = cluster.await?;
    let load = LoadGenerator::start(&cluster.caller()?, 3, 3);
    load.wait_for_progress(5).await?;
    damage_replies(&cluster, seed);
    for _ in 0..FAULT_COUNT {
        apply_fault(&cluster, &mut random).await?;
        load.wait_for_progress(3).await?;
    }
    load.finish().await?;
    for proxy in &cluster.service_proxies {
        println!("injected: {:?}", proxy.injected());
        anyhow::ensure!(!proxy.injected().is_empty(), "no reply was damaged");
    }
    cluster.check().await
}

/// Makes all services that have a proxy damage a share of their replies.
fn damage_replies(cluster: &Cluster, seed: u64) {
    for (number, proxy) in cluster.service_proxies.iter().enumerate() {
        proxy.set_faults(ReplyFaults {
            faults: ReplyFault::ALL.to_vec(),
            seed: seed + ((number as u64) << 32),
            share: DAMAGED_SHARE,
            ..ReplyFaults::default()
        });
    }
}

/// Injects one random fault and removes it after a random time.
async fn apply_fault(cluster: &Cluster, random: &mut ChaCha8Rng) -> anyhow::Result<()> {
    let pause = Duration::from_millis(random.random_range(100..3_000));
    let number = random.random_range(0..4);
    let kind = random.random_range(0..KIND_COUNT);
    println!("fault kind {kind} at number {number} for {pause:?}");
    match kind {
        0 => freeze(&cluster.entries[number], pause).await?,
        1 => freeze(&cluster.engines[number], pause).await?,
        2 => {
            let down = PlatformFaults {
                down: Some(Outage::Silent),
                ..PlatformFaults::default()
            };
            apply_platform_faults(cluster, &down, pause).await?;
        }
        3 => {
            let lossy = PlatformFaults {
                lost_reply_fraction: 0.5,
                ..PlatformFaults::default()
            };
            apply_platform_faults(cluster, &lossy, pause).await?;
        }
        4 => {
            cluster.platform_links[number].set(LinkState::Disconnected);
            sleep(pause).await;
            cluster.platform_links[number].set(LinkState::Open);
        }
        _ => {
            let lossy = ServiceFaults {
                drop_reply_count: 3,
                ..ServiceFaults::default()
            };
            cluster.set_service_faults(&lossy).await?;
        }
    }
    Ok(())
}

async fn freeze(process: &Process, pause: Duration) -> anyhow::Result<()> {
    process.freeze()?;
    sleep(pause).await;
    process.thaw()
}

async fn apply_platform_faults(
    cluster: &Cluster,
    faults: &PlatformFaults,
    pause: Duration,
) -> anyhow::Result<()> {
    cluster.set_faults(&cluster.platform, faults).await?;
    sleep(pause).await;
    let no_faults = PlatformFaults::default();
    cluster.set_faults(&cluster.platform, &no_faults).await
}
