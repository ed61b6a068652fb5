//! Guards against answers that are cut off, doubled or mixed up when a stage or an instance fails
//! in their middle.

use {
    standin::{EngineFaults, EngineSettings},
    suite::{Caller, Cluster, ExpectedAnswer, Setup, StreamState, engine_log, wait_until},
    types::LoadReport,
    wire::{Call, ServerEventReader},
};

/// Time of one token, so that an answer lasts long enough for a failure in its middle.
const STEP_US: u64 = 30_000;

fn slow_setup(entry_count: usize) -> Setup {
    Setup {
        engine: EngineSettings {
            step_us: STEP_US,
            ..EngineSettings::default()
        },
        entry_count,
        ..Setup::default()
    }
}

/// Waits until callers have this many tokens in all.
async fn wait_for_tokens(cluster: &Cluster, token_count: usize) -> anyhow::Result<()> {
    wait_until("tokens have arrived", async || {
        Ok((cluster.recorder.token_count() >= token_count).then_some(()))
    })
    .await
}

/// Number of the engine that runs a stage of the newest attempt.
async fn find_stage_engine(cluster: &Cluster, position: usize) -> anyhow::Result<usize> {
    let mut found = None;
    for (number, engine) in cluster.engines.iter().enumerate() {
        let log = engine_log(engine).await?.unwrap_or_default();
        for start in log.starts {
            if start.position == position {
                found = found.max(Some((start.attempt, number)));
            }
        }
    }
    found
        .map(|(_, number)| number)
        .ok_or_else(|| anyhow::anyhow!("no engine runs stage {position}"))
}

/// A stage is killed, and later another one, also while the first failure is being repaired.
#[tokio::test]
async fn stages_killed() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(2)).await?;
    let answer = ExpectedAnswer::default().spawn(cluster.caller()?);
    wait_for_tokens(&cluster, 10).await?;
    let second = find_stage_engine(&cluster, 1).await?;
    cluster.engines[second].kill()?;
    wait_for_tokens(&cluster, 20).await?;
    // One complete pipeline must remain.
    let other = second ^ 1;
    cluster.engines[other].kill()?;
    answer.await??;
    cluster.check().await
}

#[tokio::test]
async fn first_stage_killed() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(2)).await?;
    let answer = ExpectedAnswer::default().spawn(cluster.caller()?);
    wait_for_tokens(&cluster, 10).await?;
    let first = find_stage_engine(&cluster, 0).await?;
    cluster.engines[first].kill()?;
    answer.await??;
    cluster.check().await
}

/// The thawed stage goes on with its part of an old attempt.
#[yare::parameterized(first = { 0 }, second = { 1 })]
#[test_macro(tokio::test)]
async fn stage_frozen_and_thawed(position: usize) {
    freeze_stage(position).await.unwrap();
}

async fn freeze_stage(position: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(slow_setup(2)).await?;
    let answer = ExpectedAnswer::default().spawn(cluster.caller()?);
    wait_for_tokens(&cluster, 10).await?;
    let frozen = find_stage_engine(&cluster, position).await?;
    cluster.engines[frozen].freeze()?;
    let before = cluster.recorder.token_count();
    wait_for_tokens(&cluster, before + 10).await?;
    cluster.engines[frozen].thaw()?;
    answer.await??;
    cluster.check().await
}

/// The only replica of a stage is frozen: the answer waits for it.
#[tokio::test]
async fn only_replica_frozen_and_thawed() -> anyhow::Result<()> {
    let mut setup = slow_setup(2);
    setup.domain_count = 1;
    setup.engine.forward_limit_ms = 1_000;
    let cluster = Cluster::start(setup).await?;
    let answer = ExpectedAnswer::default().spawn(cluster.caller()?);
    wait_for_tokens(&cluster, 10).await?;
    cluster.engines[1].freeze()?;
    let address = cluster.engines[0].address("address")?;
    wait_until("the attempt has failed", async || {
        let reply = wire::call(address, &Call::get("/v1/load")).await?;
        Ok((reply.json::<LoadReport>()?.running_count == 0).then_some(()))
    })
    .await?;
    cluster.engines[1].thaw()?;
    answer.await??;
    cluster.check().await
}

/// Callers' connections to a killed instance break, and they resume at the other ones; the second
/// kill takes the instance that the first one's streams went to.
#[tokio::test]
async fn instances_killed_one_after_another() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(3)).await?;
    let mut answers = Vec::new();
    for seed in 0..4 {
        let answer = ExpectedAnswer {
            prompt: format!("Describe lagoon {seed}."),
            seed,
            ..ExpectedAnswer::default()
        };
        answers.push(answer.spawn(cluster.caller()?));
    }
    wait_for_tokens(&cluster, 40).await?;
    cluster.entries[0].kill()?;
    let before = cluster.recorder.token_count();
    wait_for_tokens(&cluster, before + 80).await?;
    cluster.entries[1].kill()?;
    for answer in answers {
        answer.await??;
    }
    cluster.check().await
}

/// The owner is frozen before it has delivered a token, or in the middle, and thawed while the
/// stream runs elsewhere. Its late attempts and cancels must not touch those of the new owner.
#[yare::parameterized(before_tokens = { 0 }, in_the_middle = { 10 })]
#[test_macro(tokio::test)]
async fn owner_frozen_and_thawed(token_count: usize) {
    freeze_owner(token_count).await.unwrap();
}

async fn freeze_owner(token_count: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(slow_setup(3)).await?;
    let caller = cluster.caller()?;
    let (answer, mut stream) = (ExpectedAnswer::default(), StreamState::default());
    if token_count == 0 {
        // The first token takes longer than it takes to freeze the owner.
        set_slow(&cluster, 30.0).await?;
    }
    let _open = open_stream(&caller, &answer, &mut stream, token_count).await?;
    wait_until("the attempt is at an engine", async || {
        find_stage_engine(&cluster, 0).await.map(Some)
    })
    .await?;
    cluster.entries[0].freeze()?;
    set_slow(&cluster, 1.0).await?;
    let resumed = Caller {
        entries: caller.entries[1..].to_vec(),
        ..caller
    };
    let body = answer.body();
    let rest = tokio::spawn(async move { resumed.resume(&body, stream).await });
    let before = cluster.recorder.token_count();
    wait_for_tokens(&cluster, before + 20).await?;
    cluster.entries[0].thaw()?;
    answer.check(&rest.await??)?;
    cluster.check().await
}

/// The owner is frozen and the first stage killed after a token was made and before it was copied.
/// The new owner knows no token, and must yet not use the number of the attempt again.
#[tokio::test]
async fn owner_and_stage_lost_before_the_first_token() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(3)).await?;
    let caller = cluster.caller()?;
    let (answer, mut stream) = (ExpectedAnswer::default(), StreamState::default());
    set_slow(&cluster, 30.0).await?;
    let _open = open_stream(&caller, &answer, &mut stream, 0).await?;
    let second = wait_until("the second stage has started", async || {
        find_stage_engine(&cluster, 1).await.map(Some)
    })
    .await?;
    cluster.entries[0].freeze()?;
    set_slow(&cluster, 1.0).await?;
    wait_until("the second stage made the first token", async || {
        let log = engine_log(&cluster.engines[second]).await?;
        Ok((!log.unwrap_or_default().runs.is_empty()).then_some(()))
    })
    .await?;
    let first = find_stage_engine(&cluster, 0).await?;
    cluster.engines[first].kill()?;
    let resumed = Caller {
        entries: caller.entries[1..].to_vec(),
        ..caller
    };
    answer.check(&resumed.resume(&answer.body(), stream).await?)?;
    cluster.entries[0].thaw()?;
    cluster.check().await
}

async fn set_slow(cluster: &Cluster, slow_factor: f64) -> anyhow::Result<()> {
    for engine in &cluster.engines {
        let faults = EngineFaults {
            slow_factor,
            ..EngineFaults::default()
        };
        cluster.set_faults(engine, &faults).await?;
    }
    Ok(())
}

/// Reads from the first address until the first event and `token_count` tokens are there. The
/// connection stays open.
async fn open_stream(
    caller: &Caller,
    answer: &ExpectedAnswer,
    stream: &mut StreamState,
    token_count: usize,
) -> anyhow::Result<ServerEventReader> {
    let body = answer.body();
    caller
        .read_until(caller.entries[0], &body, stream, |stream| {
            !stream.last_event.is_empty() && stream.token_count >= token_count
        })
        .await
}

/// Exactly one of two connections that resume at once gets the rest.
#[tokio::test]
async fn two_resume_at_once() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(3)).await?;
    let caller = cluster.caller()?;
    let (answer, mut stream) = (ExpectedAnswer::default(), StreamState::default());
    let _open = open_stream(&caller, &answer, &mut stream, 10).await?;
    cluster.entries[0].kill()?;
    let body = answer.body();
    let (mut one, mut two) = (stream.clone(), stream);
    // Each records on its own, since both may read the same tokens.
    let (left, right) = (caller.with_own_recorder(), caller.with_own_recorder());
    let results = tokio::join!(
        left.read(caller.entries[1], &body, &mut one),
        right.read(caller.entries[2], &body, &mut two),
    );
    let complete = [one.is_complete, two.is_complete];
    assert_eq!(complete.iter().filter(|is| **is).count(), 1, "{results:?}");
    let winner = if one.is_complete { one } else { two };
    answer.check(&winner)?;
    cluster.recorder.record_abandoned(&winner.request());
    cluster.check().await
}
