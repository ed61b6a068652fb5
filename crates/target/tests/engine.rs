//! Guards against answers that differ from the answer of a single engine without faults.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    futures::StreamExt,
    serde_json::{Value, json},
    standin::{
        Engine, EngineLog, EngineSettings, ExitKind, FakeServer, RegistrationSettings, answer_text,
        answer_token,
    },
    std::{sync::Arc, time::Duration},
    target::{EngineClient, Engines},
    types::{
        AttemptFailure, CancelRequest, FailureKind, FinishReason, GenerateRequest, KvRequest,
        LayerRange, LoadedModel, Order, PriorityRequest, Route, Stage, StreamRecord, WantedState,
    },
    wire::{Call, hyper::Method},
};

const LAYER_COUNT: u32 = 8;
const PROMPT: &str = "one two three";

fn model(start: u32, end: u32) -> LoadedModel {
    LoadedModel {
        adapters: Vec::new(),
        layer_count: LAYER_COUNT,
        layers: LayerRange { end, start },
        model: "m".into(),
    }
}

fn settings(start: u32, end: u32) -> EngineSettings {
    EngineSettings {
        crash_marker: "CRASH".into(),
        models: vec![model(start, end)],
        place: RegistrationSettings {
            leave_grace_ms: 0,
            ..RegistrationSettings::default()
        },
        prefill_us: 0,
        report_lag_ms: 0,
        step_us: 500,
        weight_load_ms: 0,
        ..EngineSettings::default()
    }
}

async fn pair() -> (FakeServer, FakeServer) {
    let first = Engine::start(settings(0, 3)).await.unwrap();
    let second = Engine::start(settings(3, LAYER_COUNT)).await.unwrap();
    (first, second)
}

fn request(stages: &[(&FakeServer, &str, u32, u32)]) -> GenerateRequest {
    let mut route = Route {
        layer_count: LAYER_COUNT,
        stages: Vec::new(),
    };
    for (standin, target, start, end) in stages {
        route.stages.push(Stage {
            address: standin.address(),
            layers: model(*start, *end).layers,
            target: (*target).into(),
        });
    }
    GenerateRequest {
        attempt: 1,
        delivered: Vec::new(),
        max_tokens: 6,
        model: "m".into(),
        priority: 1,
        prompt: PROMPT.into(),
        request: "r".into(),
        route,
        seed: 9,
    }
}

fn pair_request(first: &FakeServer, second: &FakeServer) -> GenerateRequest {
    request(&[(first, "first", 0, 3), (second, "second", 3, LAYER_COUNT)])
}

async fn run(request: GenerateRequest) -> Vec<Result<StreamRecord, AttemptFailure>> {
    let address = request.route.stages[0].address;
    let records = EngineClient::default().generate(address, request);
    records.collect().await
}

/// Indexes and texts of the token records. Checks that each token passed through all layers once and in
/// order.
fn texts(records: &[Result<StreamRecord, AttemptFailure>]) -> Vec<(u32, Arc<str>)> {
    let mut texts = Vec::new();
    for record in records {
        if let Ok(StreamRecord::Token(token)) = record {
            assert!(LayerRange::covers(&token.layers, LAYER_COUNT));
            texts.push((token.index, token.text.clone()));
        }
    }
    texts
}

fn expected(indexes: std::ops::Range<u32>) -> Vec<(u32, Arc<str>)> {
    indexes
        .map(|index| (index, answer_token(PROMPT, 9, index).into()))
        .collect()
}

async fn log(standin: &FakeServer) -> EngineLog {
    let reply = wire::call(standin.address(), &Call::get("/log")).await;
    reply.unwrap().json().unwrap()
}

async fn set_faults(standin: &FakeServer, faults: Value) {
    let call = Call::with_json(Method::PUT, "/faults", &faults).unwrap();
    wire::call(standin.address(), &call).await.unwrap();
}

fn failure_of_second(kind: FailureKind) -> AttemptFailure {
    AttemptFailure {
        attempt: 1,
        kind,
        target: "second".into(),
    }
}

fn end(token_count: u32) -> Result<StreamRecord, AttemptFailure> {
    Ok(StreamRecord::End {
        attempt: 1,
        reason: FinishReason::Length,
        token_count,
    })
}

/// Guards against a layer that runs twice, out of order or not at all for a token.
#[tokio::test]
async fn two_stages_run_each_layer_once() {
    let (first, second) = pair().await;
    let records = run(pair_request(&first, &second)).await;
    assert_eq!(texts(&records), expected(0..6));
    assert_eq!(records.last(), Some(&end(6)));
    for standin in [&first, &second] {
        let mut runs: Vec<_> = log(standin).await.runs.into();
        assert_eq!(runs.len(), 6);
        runs.sort();
        runs.dedup();
        assert_eq!(runs.len(), 6);
    }
}

/// Guards against a resumed answer that starts again from the beginning or differs from the first attempt.
#[tokio::test]
async fn resume_continues_after_delivered_tokens() {
    let (first, second) = pair().await;
    let mut request = pair_request(&first, &second);
    request.delivered = vec![
        answer_token(PROMPT, 9, 0).into(),
        answer_token(PROMPT, 9, 1).into(),
    ];
    let records = run(request).await;
    assert_eq!(texts(&records), expected(2..6));
    let whole: String = expected(0..6)
        .into_iter()
        .map(|(_, text)| text.to_string())
        .collect();
    assert_eq!(whole, answer_text(PROMPT, 9, 6));
}

/// Guards against reporting the first stage as failed when the second one has crashed.
#[tokio::test]
async fn dead_next_stage_is_named() {
    let (first, second) = pair().await;
    let request = pair_request(&first, &second);
    second.crash();
    assert_eq!(second.wait().await, ExitKind::Crashed);
    let records = run(request).await;
    let Some(Ok(StreamRecord::Failed(failure))) = records.last() else {
        panic!("expected a failure, got {records:?}");
    };
    assert_eq!((&*failure.target, failure.attempt), ("second", 1));
}

/// Guards against a crash that is reported as a refusal or as a complete answer.
#[tokio::test]
async fn marked_prompt_crashes_the_engine() {
    let engine = Engine::start(settings(0, LAYER_COUNT)).await.unwrap();
    let mut request = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    request.prompt = "please CRASH now".into();
    let records = run(request).await;
    let failure = records.last().unwrap().clone().unwrap_err();
    assert!(!failure.kind.is_not_run());
    assert_eq!(engine.wait().await, ExitKind::Crashed);
}

/// Guards against attributing the crash of a later stage to the first one.
#[tokio::test]
async fn marked_prompt_crashes_a_later_stage() {
    let mut without_crash_marker = settings(0, 3);
    without_crash_marker.crash_marker.clear();
    let first = Engine::start(without_crash_marker).await.unwrap();
    let second = Engine::start(settings(3, LAYER_COUNT)).await.unwrap();
    let mut request = pair_request(&first, &second);
    request.prompt = "please CRASH now".into();
    let records = run(request).await;
    assert_eq!(
        records,
        [Ok(StreamRecord::Failed(failure_of_second(
            FailureKind::Broken
        )))]
    );
    assert_eq!(second.wait().await, ExitKind::Crashed);
}

/// Guards against treating a frozen stage as healthy.
#[tokio::test]
async fn frozen_next_stage_is_silent() {
    let mut short_forward_limit = settings(0, 3);
    short_forward_limit.forward_limit_ms = 50;
    let first = Engine::start(short_forward_limit).await.unwrap();
    let second = Engine::start(settings(3, LAYER_COUNT)).await.unwrap();
    let faults = json!({"frozen": true});
    set_faults(&second, faults).await;
    let records = run(pair_request(&first, &second)).await;
    assert_eq!(
        records,
        [Ok(StreamRecord::Failed(failure_of_second(
            FailureKind::Silent
        )))]
    );
}

/// Guards against an engine that continues a request after it was canceled or its connection was closed.
#[tokio::test]
async fn cancel_and_drop_free_the_slot() {
    let mut settings = settings(0, LAYER_COUNT);
    settings.slot_count = 1;
    let engine = Engine::start(settings).await.unwrap();
    let mut endless = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    endless.max_tokens = 1_000_000;
    let engines = EngineClient::default();
    let mut canceled = engines.generate(engine.address(), endless.clone());
    assert!(canceled.next().await.unwrap().is_ok());
    let cancel = CancelRequest {
        attempt: 1,
        request: "r".into(),
    };
    engines.cancel(engine.address(), cancel).await.unwrap();
    assert!(canceled.any(|record| async move { record.is_err() }).await);
    endless.request = "s".into();
    let mut dropped = engines.generate(engine.address(), endless.clone());
    assert!(dropped.next().await.unwrap().is_ok());
    drop(dropped);
    endless.request = "t".into();
    endless.max_tokens = 1;
    assert_eq!(run(endless).await.last(), Some(&end(1)));
}

/// Guards against a request that keeps its slot while a request of higher priority waits.
#[tokio::test]
async fn priority_decides_who_runs() {
    let mut settings = settings(0, LAYER_COUNT);
    settings.slot_count = 1;
    let engine = Engine::start(settings).await.unwrap();
    let mut long = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    long.max_tokens = 1_000_000;
    let engines = EngineClient::default();
    let mut stream = engines.generate(engine.address(), long.clone());
    assert!(stream.next().await.unwrap().is_ok());
    let lowered = PriorityRequest {
        attempt: 1,
        priority: 0,
        request: "r".into(),
    };
    engines
        .set_priority(engine.address(), lowered)
        .await
        .unwrap();
    long.request = "short".into();
    long.max_tokens = 2;
    // The only slot becomes free only if the long request releases it.
    assert_eq!(run(long).await.last(), Some(&end(2)));
}

/// Guards against an order with an old fence, from a former owner, that takes effect after a newer order.
#[tokio::test]
async fn old_fence_is_refused_only_where_it_is_checked() {
    for checks_fence in [false, true] {
        let mut settings = settings(0, LAYER_COUNT);
        settings.checks_fence = checks_fence;
        let engine = Engine::start(settings).await.unwrap();
        let engines = EngineClient::default();
        let order = |fence, end| Order {
            fence,
            wanted: WantedState {
                models: vec![model(0, end)],
                ..WantedState::default()
            },
        };
        engines.order(engine.address(), order(5, 4)).await.unwrap();
        while engines.load(engine.address()).await.unwrap().fence != 5 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let load = engines.load(engine.address()).await.unwrap();
        assert_eq!(load.models, [model(0, 4)]);
        let result = engines.order(engine.address(), order(4, 2)).await;
        let expected = if checks_fence {
            Err(FailureKind::Refused)
        } else {
            Ok(())
        };
        assert_eq!(result, expected);
    }
}

/// Guards against a fake engine that does not produce the configured duplicated and reordered records, which
/// would leave the assembly of answers untested end to end, or that ends a stream after another number of
/// tokens than configured.
#[tokio::test]
async fn duplicated_reordered_and_cut_records() {
    let engine = Engine::start(settings(0, LAYER_COUNT)).await.unwrap();
    let request = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    let indexes =
        |records: &[_]| -> Vec<u32> { texts(records).iter().map(|text| text.0).collect() };
    let faults = json!({"duplicate_every": 3, "reorder_every": 2});
    set_faults(&engine, faults).await;
    let records = run(request.clone()).await;
    assert_eq!(indexes(&records), [0, 2, 2, 1, 4, 3, 5]);
    assert_eq!(records.last(), Some(&end(6)));
    let faults = json!({"drop_after_tokens": 2});
    set_faults(&engine, faults).await;
    let records = run(request).await;
    assert_eq!(indexes(&records), [0, 1]);
    assert_eq!(
        records.last().unwrap().clone().unwrap_err().kind,
        FailureKind::Broken
    );
}

/// Guards against an imported cache that saves no prefill, and against wrong cache events.
#[tokio::test]
async fn caches_save_prefill() {
    let (first, second) = pair().await;
    let mut request = pair_request(&first, &second);
    run(request.clone()).await;
    let export = KvRequest {
        attempt: 1,
        request: "r".into(),
    };
    let engines = EngineClient::default();
    let cache = engines.export_kv(first.address(), export).await.unwrap();
    assert_eq!(cache.token_count, 3 + 6);
    let other = Engine::start(settings(0, 3)).await.unwrap();
    engines
        .import_kv(other.address(), cache.clone())
        .await
        .unwrap();
    let refused = engines.import_kv(second.address(), cache).await;
    assert_eq!(refused, Err(FailureKind::Refused));
    request.attempt = 2;
    request.route.stages[0].address = other.address();
    run(request.clone()).await;
    assert_eq!(log(&other).await.starts[0].cached_tokens, 3);
    request.prompt = "word ".repeat(40).into();
    request.request = "s".into();
    run(request.clone()).await;
    let hashes = types::prefix_hashes(&request.prompt);
    let events = loop {
        let events = engines.cache_events(other.address(), 0).await.unwrap();
        if !events.is_empty() {
            break events;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let published: Vec<u64> = events.iter().map(|event| event.prefix_hash).collect();
    assert_eq!(published, hashes);
    request.attempt = 3;
    run(request).await;
    assert_eq!(log(&other).await.starts[2].cached_tokens, 32);
}

/// Guards against a cache that grows without limit, and against missing events that the reader cannot detect.
#[tokio::test]
async fn full_cache_evicts_the_oldest_prefix() {
    let mut settings = settings(0, LAYER_COUNT);
    settings.cache_block_count = 2;
    settings.cache_event_gap_fraction = 0.5;
    settings.cache_event_lag_ms = 0;
    let engine = Engine::start(settings).await.unwrap();
    let mut request = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    request.max_tokens = 1;
    for number in 0..10 {
        request.prompt = format!("{number} ").repeat(16).into();
        request.request = number.to_string().into();
        run(request.clone()).await;
    }
    let engines = EngineClient::default();
    let events = engines.cache_events(engine.address(), 0).await.unwrap();
    let load = engines.load(engine.address()).await.unwrap();
    // Ten prefixes were added, and all but the last two were evicted.
    assert_eq!(load.cache_event_count, 10 + 8);
    assert!(!events.is_empty() && events.len() < 18);
    assert!(events.is_sorted_by_key(|event| event.position));
}

/// Guards against a planned stop that interrupts a stream.
#[tokio::test]
async fn leaving_engine_finishes_its_streams() {
    let engine = Engine::start(settings(0, LAYER_COUNT)).await.unwrap();
    let mut request = request(&[(&engine, "only", 0, LAYER_COUNT)]);
    request.max_tokens = 100;
    let engines = EngineClient::default();
    let mut stream = engines.generate(engine.address(), request);
    assert!(stream.next().await.unwrap().is_ok());
    engine.leave();
    let rest: Vec<_> = stream.collect().await;
    assert_eq!(rest.last(), Some(&end(100)));
    assert_eq!(engine.wait().await, ExitKind::Stopped);
}
