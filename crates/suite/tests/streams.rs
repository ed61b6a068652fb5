//! Tests that answers are not truncated, duplicated or mixed up when an engine or an instance fails
//! while they are streamed.

use {
    standin::{EngineFaults, EngineSettings},
    suite::{Caller, Cluster, ExpectedAnswer, Setup, StreamState, engine_log, wait_until},
    types::LoadReport,
    wire::{Call, ServerEventReader},
};

/// Time of one token in microseconds; long enough to inject a failure in the middle of an answer.
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

/// Waits until all callers together have received this many tokens.
async fn wait_for_tokens(cluster: &Cluster, token_count: usize) -> anyhow::Result<()> {
    wait_until("tokens have arrived", async || {
        Ok((cluster.recorder.token_count() >= token_count).then_some(()))
    })
    .await
}

/// Returns the number of the engine that runs the stage at `position` of the newest attempt.
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

/// Two engines are killed one after the other. The second kill may come while the router is still
/// repairing the stream after the first.
#[tokio::test]
async fn stages_killed() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(2)).await?;
    let answer = ExpectedAnswer::default().spawn(cluster.caller()?);
    wait_for_tokens(&cluster, 10).await?;
    let second = find_stage_engine(&cluster, 1).await?;
    cluster.engines[second].kill()?;
    wait_for_tokens(&cluster, 20).await?;
    // The other stage of the same pipeline is killed, so that the other pipeline stays complete.
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

/// An engine is frozen until the answer continues elsewhere. After it is thawed, it continues its
/// part of the old attempt, which must not affect the answer.
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

/// The only replica of a stage is frozen. The answer must wait and continue when it is thawed.
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

/// Callers resume their streams at other instances when theirs is killed. The second kill hits the
/// instance that took over the streams of the first.
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

/// The owner is frozen before or after its first tokens and thawed while another instance streams
/// the answer. Its late attempts and cancellations must not affect those of the new owner.
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
        // Slows the engines down, so that the owner is frozen before the first token.
        set_slow_factor(&cluster, 30.0).await?;
    }
    let _open = open_stream(&caller, &answer, &mut stream, token_count).await?;
    wait_until("an engine has started the attempt", async || {
        find_stage_engine(&cluster, 0).await.map(Some)
    })
    .await?;
    cluster.entries[0].freeze()?;
    set_slow_factor(&cluster, 1.0).await?;
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

/// The owner is frozen and the first stage killed after a token was generated and before it was
/// copied. The new owner knows of no token, but must not reuse the number of the attempt.
#[tokio::test]
async fn owner_and_stage_lost_before_the_first_token() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(3)).await?;
    let caller = cluster.caller()?;
    let (answer, mut stream) = (ExpectedAnswer::default(), StreamState::default());
    set_slow_factor(&cluster, 30.0).await?;
    let _open = open_stream(&caller, &answer, &mut stream, 0).await?;
    let second = wait_until("the second stage has started", async || {
        find_stage_engine(&cluster, 1).await.map(Some)
    })
    .await?;
    cluster.entries[0].freeze()?;
    set_slow_factor(&cluster, 1.0).await?;
    wait_until("the second stage has run the first token", async || {
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

async fn set_slow_factor(cluster: &Cluster, slow_factor: f64) -> anyhow::Result<()> {
    for engine in &cluster.engines {
        let faults = EngineFaults {
            slow_factor,
            ..EngineFaults::default()
        };
        cluster.set_faults(engine, &faults).await?;
    }
    Ok(())
}

/// Reads from the first address until the first event and `token_count` tokens have arrived.
/// Returns the open connection.
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

/// Two connections resume the same stream at the same time; exactly one of them must receive the
/// rest.
#[tokio::test]
async fn exactly_one_of_two_concurrent_resumes_succeeds() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(slow_setup(3)).await?;
    let caller = cluster.caller()?;
    let (answer, mut stream) = (ExpectedAnswer::default(), StreamState::default());
    let _open = open_stream(&caller, &answer, &mut stream, 10).await?;
    cluster.entries[0].kill()?;
    let body = answer.body();
    let (mut one, mut two) = (stream.clone(), stream);
    // Separate recorders, because both connections may receive the same tokens.
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
