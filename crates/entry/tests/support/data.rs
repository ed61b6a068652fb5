use super::*;

pub fn listing(id: &str, role: ListingRole) -> Listing {
    Listing {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "zone".into(),
        id: id.into(),
        incarnation: 1,
        leaving: false,
        region: "region".into(),
        role,
    }
}

pub fn lists() -> OperatorLists {
    let plan = |models: &[&str], services: &[&str]| Plan {
        models: models.iter().map(|name| Arc::from(*name)).collect(),
        services: services.iter().map(|name| Arc::from(*name)).collect(),
        ..Plan::default()
    };
    let account = |key, plan: &str| Account {
        key_hashes: BTreeSet::from([hash_key(key)]),
        plan: plan.into(),
    };
    OperatorLists {
        accounts: BTreeMap::from([
            ("lagoon".into(), account("key-1", "large")),
            ("other".into(), account("key-2", "small")),
        ]),
        plans: BTreeMap::from([
            ("large".into(), plan(&["m"], &["travel", "absent"])),
            ("small".into(), plan(&["n"], &[])),
        ]),
        version: 7,
    }
}

pub const KEY: (&str, &str) = ("authorization", "Bearer key-1");
pub const OPERATOR: (&str, &str) = ("authorization", "Bearer operator");

/// Sends records to the instance as the engine.
pub fn send_records<const COUNT: usize>(
    records: &RecordSender,
    sent: [Result<StreamRecord, AttemptFailure>; COUNT],
) {
    for record in sent {
        records.send(record).expect("the stream is read");
    }
}

pub fn dispatch(request: &RequestId, attempt: u32, backup: Option<&str>) -> Command {
    let stage = |target: &str, start, end| Stage {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        layers: LayerRange { start, end },
        target: target.into(),
    };
    Command::DispatchGenerate {
        attempt,
        backup: backup.map(|instance| (instance.into(), peer_address(instance))),
        priority: 5,
        request: request.clone(),
        route: Route {
            layer_count: 4,
            stages: vec![stage("e1", 0, 2), stage("e2", 2, 4)],
        },
    }
}

pub fn token(attempt: u32, index: u32) -> Result<StreamRecord, AttemptFailure> {
    let layers = |start, end| LayerRange { start, end };
    Ok(StreamRecord::Token(TokenRecord {
        attempt,
        index,
        layers: vec![layers(0, 2), layers(2, 4)],
        text: format!("t{index} ").into(),
    }))
}

pub fn end(attempt: u32, token_count: u32) -> Result<StreamRecord, AttemptFailure> {
    Ok(StreamRecord::End {
        attempt,
        reason: types::FinishReason::Stop,
        token_count,
    })
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Request {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).expect("a header name");
        map.insert(name, value.parse().expect("a header value"));
    }
    Request {
        arrived_at: clock::now(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        headers: map,
        method: Method::from_bytes(method.as_bytes()).expect("a method"),
        on_close: wire::CloseHandling::default(),
        path: path.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 9)),
        query: query.into(),
    }
}

pub fn prompt(is_stream: bool) -> Request {
    let body = format!(r#"{{"model":"m","prompt":"p","max_tokens":9,"stream":{is_stream}}}"#);
    request("POST", "/v1/completions", &[KEY], &body)
}

pub fn resume(id: &str, key: &str) -> Request {
    let path = format!("/v1/completions/{}", id.split('.').next().expect("an id"));
    let key = format!("Bearer {key}");
    let headers = [("authorization", &*key), ("last-event-id", id)];
    request("GET", &path, &headers, "")
}

/// Reads a body until its text contains `part`, and returns the text read so far.
pub async fn read_until(response: &mut Response, part: &str) -> String {
    let mut text = String::new();
    while !text.contains(part) {
        let Some(frame) = response.body_mut().frame().await else {
            panic!("the body ended without `{part}`: {text}");
        };
        let data = frame.expect("no disconnect").into_data();
        text.push_str(&String::from_utf8_lossy(&data.expect("data")));
    }
    text
}

pub async fn read_all(response: Response) -> String {
    let bytes = response.into_body().collect().await.expect("a body");
    String::from_utf8_lossy(&bytes.to_bytes()).into_owned()
}

/// Returns the concatenated token texts in the events of a stream, and the last resume point.
pub fn parse_events(text: &str) -> (String, String) {
    let (mut tokens, mut id) = (String::new(), String::new());
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.into();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(data) {
            tokens.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    (tokens, id)
}
