//! Copying of KV caches from a leaving engine to its replacement.

mod support;

use {
    control::{Command, Event},
    standin::{Engine, EngineSettings, FakeServer, RegistrationSettings, answer_text},
    std::sync::Arc,
    support::*,
    target::EngineClient,
    types::{Attempt, FailureKind, LayerRange, LoadedModel, RequestId, Route, Stage},
    wire::Call,
};

async fn engine(step_us: u64) -> FakeServer {
    let settings = EngineSettings {
        models: vec![LoadedModel {
            adapters: Vec::new(),
            layer_count: 4,
            layers: LayerRange { start: 0, end: 4 },
            model: "m".into(),
        }],
        place: RegistrationSettings {
            leave_grace_ms: 0,
            ..RegistrationSettings::default()
        },
        prefill_us: 0,
        step_us,
        ..EngineSettings::default()
    };
    Engine::start(settings).await.expect("a free port")
}

fn move_cache(request: &RequestId, from: &FakeServer, to: &FakeServer) -> Command {
    Command::MoveCache {
        attempt: 1,
        from: "e1".into(),
        from_address: from.address(),
        request: request.clone(),
        to: "e2".into(),
        to_address: to.address(),
    }
}

fn dispatch_to(engine: &FakeServer, request: &RequestId, attempt: Attempt) -> Command {
    Command::DispatchGenerate {
        attempt,
        backup: None,
        priority: 5,
        request: request.clone(),
        route: Route {
            layer_count: 4,
            stages: vec![Stage {
                address: engine.address(),
                layers: LayerRange { start: 0, end: 4 },
                target: "e1".into(),
            }],
        },
    }
}

async fn cache_move_result(fixture: &Fixture) -> Result<u32, FailureKind> {
    loop {
        if let Event::CacheMoved {
            attempt, result, ..
        } = fixture.event().await
        {
            assert_eq!(attempt, 1, "not the attempt number of the node");
            return result;
        }
    }
}

/// Guards against a move that copies nothing or does not report its end.
#[tokio::test]
async fn the_replacement_reuses_the_cache_of_the_leaving_engine() {
    // The leaving engine needs ten seconds for the answer, so the move happens before its end.
    let (leaving, replacement) = (engine(20_000).await, engine(100).await);
    let fixture = Fixture::with_engines(Arc::new(EngineClient::default()));
    let body = r#"{"model":"m","prompt":"one two three","max_tokens":500,"seed":9,"stream":true}"#;
    let prompt = request("POST", "/v1/completions", &[KEY], body);
    let response = tokio::spawn(fixture.send(prompt));
    let request = fixture.submitted().await.request;
    fixture.app.execute(dispatch_to(&leaving, &request, 1));
    let mut response = response.await.unwrap();
    let first = read_until(&mut response, "\"text\"").await;
    let command = move_cache(&request, &leaving, &replacement);
    fixture.app.execute(command);
    let token_count = cache_move_result(&fixture).await.unwrap();
    assert!(
        token_count > 3,
        "{token_count} tokens do not cover the prompt"
    );
    fixture.app.execute(dispatch_to(&replacement, &request, 2));
    let text = first + &read_all(response).await;
    assert_eq!(parse_events(&text).0, answer_text("one two three", 9, 500));
    let log = wire::call(replacement.address(), &Call::get("/log")).await;
    let log: standin::EngineLog = log.unwrap().json().unwrap();
    assert!(log.starts[0].cached_tokens > 3, "{:?}", log.starts);
}

/// Guards against an export with an attempt number that the engines use for another attempt, and
/// against a missing report when the stream of a move has already ended.
#[tokio::test]
async fn cache_moves_use_the_attempt_numbers_of_the_engines() {
    let (from, to) = (engine(500).await, engine(500).await);
    let fixture = Fixture::new();
    let (_response, id, _records) = fixture.stream_with_first_token(None).await;
    let resumed = fixture.send(resume(&id, "key-1")).await;
    let request = loop {
        if let Event::GenerateSubmitted(submission) = fixture.event().await {
            break submission.request;
        }
    };
    fixture.app.execute(dispatch(&request, 1, None));
    let (generation, _records) = fixture.generation().await;
    fixture.app.execute(move_cache(&request, &from, &to));
    assert_eq!(cache_move_result(&fixture).await, Ok(5));
    let exported = fixture.targets.exports.lock().unwrap()[0].attempt;
    assert_eq!(exported, generation.attempt);
    drop(resumed);
    while !matches!(fixture.event().await, Event::CallerGone { .. }) {}
    fixture.app.execute(move_cache(&"none".into(), &from, &to));
    assert_eq!(cache_move_result(&fixture).await, Err(FailureKind::Refused));
}
