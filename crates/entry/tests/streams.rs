//! Streams: order of tokens, attempts, journal copies, disconnects and resumption.

mod support;

use {
    control::{Command, Event},
    entry::Settings,
    support::*,
    types::{AttemptFailure, FailureKind, Refusal, RefusalKind, StreamRecord},
    wire::Response,
};

fn broken_attempt(attempt: u32) -> AttemptFailure {
    AttemptFailure {
        attempt,
        kind: FailureKind::Broken,
        target: "e2".into(),
    }
}

/// Guards against tokens that are delivered twice, out of order or from an earlier attempt.
#[tokio::test]
async fn tokens_arrive_once_and_in_order() {
    let fixture = Fixture::new();
    let (response, request, records) = fixture.stream(None).await;
    send_records(
        &records,
        [
            token(1, 0),
            token(1, 2),
            token(1, 0),
            token(0, 1),
            token(1, 1),
            token(1, 2),
        ],
    );
    records.send(end(1, 3)).unwrap();
    let text = read_all(response).await;
    assert_eq!(parse_events(&text).0, "t0 t1 t2 ");
    assert!(text.contains(&format!("id: {request}.a.-.3\n")), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let mut events = Vec::new();
    while !matches!(events.last(), Some(Event::GenerateCompleted { .. })) {
        events.push(fixture.event().await);
    }
}

/// Guards against an incomplete or streamed answer to a request without streaming.
#[tokio::test]
async fn answers_without_streaming_are_one_object() {
    let fixture = Fixture::new();
    let response = tokio::spawn(fixture.send(prompt(false)));
    let (_, _, records) = fixture.run_submitted(1).await;
    send_records(&records, [token(1, 0), token(1, 1), end(1, 2)]);
    let text = read_all(response.await.unwrap()).await;
    let body: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(body["choices"][0]["text"], "t0 t1 ");
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
}

/// Guards against lost or repeated tokens after a stage fails, and against late records of the
/// failed attempt.
#[tokio::test]
async fn the_next_attempt_continues_after_the_delivered_tokens() {
    let fixture = Fixture::new();
    let (response, request, records) = fixture.stream(None).await;
    records.send(token(1, 0)).unwrap();
    records
        .send(Ok(StreamRecord::Failed(broken_attempt(1))))
        .unwrap();
    let failed = loop {
        if let Event::AttemptFailed {
            failure,
            delivered_tokens,
            ..
        } = fixture.event().await
        {
            break (failure, delivered_tokens);
        }
    };
    assert_eq!(failed, (broken_attempt(1), 1));
    fixture.app.execute(dispatch(&request, 2, None));
    let (generation, records) = fixture.generation().await;
    assert_eq!((generation.attempt, generation.delivered.len()), (2, 1));
    send_records(&records, [token(1, 1), token(2, 0), token(2, 1), end(2, 2)]);
    assert_eq!(parse_events(&read_all(response).await).0, "t0 t1 ");
}

/// Guards against an incomplete answer that is reported as complete because the engine sent an end
/// record.
#[tokio::test]
async fn an_end_record_with_missing_tokens_fails_the_attempt() {
    let fixture = Fixture::new();
    let (_response, _, records) = fixture.stream(None).await;
    records.send(token(1, 0)).unwrap();
    records.send(end(1, 2)).unwrap();
    drop(records);
    loop {
        if let Event::AttemptFailed { failure, .. } = fixture.event().await {
            assert_eq!(failure.kind, FailureKind::Protocol);
            break;
        }
    }
}

/// Guards against a refusal that looks like an empty answer, before and after the start of the
/// streamed response.
#[tokio::test]
async fn a_refusal_is_an_error_with_retry_after() {
    let refuse = |request: &std::sync::Arc<str>| Command::Refuse {
        refusal: Refusal {
            kind: RefusalKind::NoTarget,
            retry_after: std::time::Duration::from_millis(1_500),
        },
        request: request.clone(),
    };
    let fixture = Fixture::new();
    let response = tokio::spawn(fixture.send(prompt(true)));
    let submission = fixture.submitted().await;
    fixture.app.execute(refuse(&submission.request));
    let response = response.await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["retry-after"], "2");
    let (response, request, _records) = fixture.stream(None).await;
    fixture.app.execute(refuse(&request));
    let text = read_all(response).await;
    assert!(
        text.contains("event: error\ndata: {\"error\":{\"kind\":\"no_target\""),
        "{text}"
    );
}

/// Guards against engines that continue to work for a caller that has disconnected.
#[tokio::test]
async fn a_disconnect_cancels_every_stage() {
    let fixture = Fixture::new();
    let (response, request, _records) = fixture.stream(None).await;
    drop(response);
    assert_eq!(fixture.event().await, Event::CallerGone { request });
    let mut canceled = fixture.targets.canceled.lock().await;
    for _ in 0..2 {
        assert_eq!(canceled.recv().await.unwrap().attempt, 1);
    }
}

/// Guards against a stream that ends when its backup is unreachable, and against event ids that
/// name a backup without a copy.
#[tokio::test]
async fn a_lost_backup_is_replaced() {
    let network = Network::default();
    let [fixture, _b, _c] = &Fixture::group(&network, ["a", "b", "c"]).await;
    let (mut response, request, records) = fixture.stream(Some("b")).await;
    records.send(token(1, 0)).unwrap();
    read_until(&mut response, &format!("id: {request}.a.b.1\n")).await;
    network.remove("b");
    records.send(token(1, 1)).unwrap();
    read_until(&mut response, &format!("id: {request}.a.c.2\n")).await;
}

/// Guards against losing a stream together with its instance. The backup has every delivered token,
/// and the attempts of the new run have higher numbers than those of the earlier one.
#[tokio::test]
async fn any_instance_resumes_from_the_backup() {
    let network = Network::default();
    let [owner, _backup, other] = &Fixture::group(&network, ["a", "b", "c"]).await;
    let (mut response, _, records) = owner.stream(Some("b")).await;
    records.send(token(1, 0)).unwrap();
    records.send(token(1, 1)).unwrap();
    let text = read_until(&mut response, "t1 ").await;
    let (_, id) = parse_events(&text);
    network.remove("a");
    let first = id.replace(".2", ".1");
    let resumed = other.send(resume(&first, "key-1")).await;
    assert_eq!(resumed.status(), 200);
    let (submission, generation, records) = other.run_submitted(1).await;
    assert_eq!(submission.delivered_tokens, 2);
    assert_eq!((generation.attempt, generation.delivered.len()), (2, 2));
    records.send(token(2, 2)).unwrap();
    records.send(end(2, 3)).unwrap();
    assert_eq!(parse_events(&read_all(resumed).await).0, "t1 t2 ");
}

/// Guards against two connections that both get the same stream, at the same instance or at two,
/// and against an earlier connection that still gets tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn exactly_one_of_two_resumers_gets_the_stream() {
    for other in ["b", "c"] {
        let network = Network::default();
        let [owner, backup, third] = &Fixture::group(&network, ["a", "b", "c"]).await;
        let (response, id, records) = owner.stream_with_first_token(Some("b")).await;
        let other_resumer = if other == "b" { backup } else { third };
        let first = tokio::spawn(third.send(resume(&id, "key-1")));
        let second = tokio::spawn(other_resumer.send(resume(&id, "key-1")));
        let responses: [Response; 2] = [first.await.unwrap(), second.await.unwrap()];
        let mut statuses = responses
            .each_ref()
            .map(|response| response.status().as_u16());
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409]);
        // The earlier connection ends with an error event and delivers no further token.
        let _ = records.send(token(1, 1));
        let rest = read_all(response).await;
        assert!(
            rest.contains("taken_over") && !rest.contains("t1 "),
            "{rest}"
        );
    }
}

/// Guards against submitting a resumed stream before the earlier run on the same instance has
/// reported its end.
#[tokio::test]
async fn the_owner_itself_resumes() {
    let fixture = Fixture::new();
    let (_response, id, _records) = fixture.stream_with_first_token(None).await;
    let request = id.split('.').next().unwrap();
    let resumed = fixture.send(resume(&id, "key-1")).await;
    assert_eq!(resumed.status(), 200);
    let mut events = Vec::new();
    while !matches!(events.last(), Some(Event::GenerateSubmitted(_))) {
        events.push(fixture.event().await);
    }
    assert!(
        events.contains(&Event::CallerGone {
            request: request.into()
        }),
        "{events:?}"
    );
}

/// Guards against a stream that another account, or a caller with a guessed id, can read.
#[tokio::test]
async fn only_the_owning_account_resumes() {
    let fixture = Fixture::new();
    let (mut response, id, records) = fixture.stream_with_first_token(None).await;
    let request = id.split('.').next().unwrap();
    assert_eq!(fixture.send(resume(&id, "key-2")).await.status(), 404);
    assert_eq!(fixture.send(resume(&id, "key-9")).await.status(), 401);
    assert_eq!(fixture.send(resume("x.a.-.1", "key-1")).await.status(), 404);
    assert_eq!(fixture.send(resume("x.a.1", "key-1")).await.status(), 400);
    let at_unknown_owner = fixture.send(resume(&format!("{request}.z.-.1"), "key-1"));
    assert_eq!(at_unknown_owner.await.status(), 503);
    records.send(token(1, 1)).unwrap();
    read_until(&mut response, "t1 ").await;
}

/// Guards against a stream that cannot be resumed, because the connection of a resume broke before
/// the caller received the new owner.
#[tokio::test]
async fn a_broken_resume_can_be_repeated_anywhere() {
    let network = Network::default();
    let [owner, backup, other] = &Fixture::group(&network, ["a", "b", "c"]).await;
    let (_response, id, _records) = owner.stream_with_first_token(Some("b")).await;
    drop(other.send(resume(&id, "key-1")).await);
    for instance in [other, backup, owner] {
        let mut resumed = instance.send(resume(&id, "key-1")).await;
        while resumed.status() == 409 {
            // The instance has not noticed yet that the connection is broken.
            tokio::task::yield_now().await;
            resumed = instance.send(resume(&id, "key-1")).await;
        }
        assert_eq!(resumed.status(), 200);
    }
}

/// Limits the journal memory to two streams with answers of up to 9 tokens.
fn limit_memory_to_two_streams(settings: &mut Settings) {
    settings.stream.max_tokens = 9;
    settings.journal.max_bytes = 2 * (512 + 1 + 9 * (32 + 16));
}

/// Guards against accepted streams that fail because later ones have used up the memory.
#[tokio::test]
async fn new_streams_are_refused_before_memory_runs_out() {
    let fixture = Fixture::with_settings(&Network::default(), "a", limit_memory_to_two_streams);
    let streams = [fixture.stream(None).await, fixture.stream(None).await];
    let refused = fixture.send(prompt(true)).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["retry-after"], "1");
    assert!(read_all(refused).await.contains("journal_memory"));
    for (response, _, records) in streams {
        for index in 0..9 {
            records.send(token(1, index)).unwrap();
        }
        records.send(end(1, 9)).unwrap();
        let text = read_all(response).await;
        assert_eq!(parse_events(&text).0, "t0 t1 t2 t3 t4 t5 t6 t7 t8 ");
        while !matches!(fixture.event().await, Event::GenerateCompleted { .. }) {}
    }
    // The memory reserved by the ended streams is available again.
    fixture.stream(None).await;
}

/// Guards against an instance that takes a journal over without having memory for it, so that no
/// other instance can.
#[tokio::test]
async fn an_instance_without_memory_takes_no_journal() {
    let network = Network::default();
    let (owner, other) = (
        Fixture::on(&network, "a"),
        Fixture::with_settings(&network, "c", limit_memory_to_two_streams),
    );
    owner.read_listing().await;
    other.read_listing().await;
    let _streams = [other.stream(None).await, other.stream(None).await];
    let (_response, id, _records) = owner.stream_with_first_token(None).await;
    let refused = other.send(resume(&id, "key-1")).await;
    assert!(read_all(refused).await.contains("journal_memory"));
    assert_eq!(owner.send(resume(&id, "key-1")).await.status(), 200);
}

/// Guards against a resumed stream that repeats, skips or mixes tokens when a network partition
/// separates owner and backup and each hands the stream over to a different instance.
#[tokio::test]
async fn both_resumers_of_a_partition_deliver_a_correct_stream() {
    let network = Network::default();
    let group = Fixture::group(&network, ["a", "b", "c", "d"]).await;
    let [owner, _, from_owner, from_backup] = &group;
    let (response, id, _records) = owner.stream_with_first_token(Some("b")).await;
    network.partition("a", "b");
    network.partition("a", "d");
    for resumer in [from_owner, from_backup] {
        let resumed = resumer.send(resume(&id, "key-1")).await;
        assert_eq!(resumed.status(), 200);
        let (_, generation, records) = resumer.run_submitted(1).await;
        assert_eq!(generation.delivered.len(), 1);
        // Late records of the first run have its attempt number and are discarded.
        send_records(&records, [token(1, 1), token(2, 1), token(2, 2), end(2, 3)]);
        assert_eq!(parse_events(&read_all(resumed).await).0, "t1 t2 ");
    }
    assert!(read_all(response).await.contains("taken_over"));
}
