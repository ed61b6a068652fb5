//! Guards against replies to an earlier request that are taken for the reply to another one.

#![allow(clippy::unwrap_used, reason = "an error in a helper fails its test")]

#[path = "../../peer/tests/support/repeating_proxy.rs"]
mod repeating_proxy;

use {
    futures::StreamExt,
    repeating_proxy::RepeatingProxy,
    standin::{
        Engine, EngineSettings, FakeServer, RegistrationSettings, Service, ServiceSettings,
        answer_token,
    },
    std::{net::SocketAddr, time::Duration},
    target::{EngineClient, Engines, ServiceClient, Services},
    types::{
        AttemptFailure, FailureKind, GenerateRequest, LayerRange, LoadedModel, Route, Stage,
        StreamRecord,
    },
};

const LAYER_COUNT: u32 = 8;
const PROMPT: &str = "one two three";

fn layers(start: u32, end: u32) -> LayerRange {
    LayerRange { end, start }
}

async fn engine(layers: LayerRange) -> FakeServer {
    let settings = EngineSettings {
        models: vec![LoadedModel {
            adapters: Vec::new(),
            layer_count: LAYER_COUNT,
            layers,
            model: "m".into(),
        }],
        place: RegistrationSettings {
            leave_grace_ms: 0,
            ..RegistrationSettings::default()
        },
        prefill_us: 0,
        step_us: 500,
        weight_load_ms: 0,
        ..EngineSettings::default()
    };
    Engine::start(settings).await.unwrap()
}

fn stage(address: SocketAddr, target: &str, layers: LayerRange) -> Stage {
    Stage {
        address,
        layers,
        target: target.into(),
    }
}

/// Guards against a token that comes twice, because a copy of the reply to an earlier step was taken for that of the
/// next step on the connection between two stages.
#[tokio::test]
async fn copy_of_an_earlier_step_is_not_the_next_token() {
    let first = engine(layers(0, 3)).await;
    let second = engine(layers(3, LAYER_COUNT)).await;
    let proxy = RepeatingProxy::start(second.address(), Duration::ZERO).await;
    let request = GenerateRequest {
        attempt: 1,
        delivered: Vec::new(),
        max_tokens: 6,
        model: "m".into(),
        priority: 1,
        prompt: PROMPT.into(),
        request: "r".into(),
        route: Route {
            layer_count: LAYER_COUNT,
            stages: vec![
                stage(first.address(), "first", layers(0, 3)),
                stage(proxy.address, "second", layers(3, LAYER_COUNT)),
            ],
        },
        seed: 9,
    };
    let records = EngineClient::default().generate(first.address(), request);
    let records: Vec<_> = records.collect().await;
    let [Ok(StreamRecord::Token(token)), failure] = records.as_slice() else {
        panic!("not one token and a failure: {records:?}");
    };
    assert_eq!(&*token.text, answer_token(PROMPT, 9, 0));
    let expected = AttemptFailure {
        attempt: 1,
        kind: FailureKind::Protocol,
        target: "second".into(),
    };
    assert!(
        matches!(failure, Ok(StreamRecord::Failed(failed)) | Err(failed) if *failed == expected),
        "{failure:?}"
    );
}

/// Guards against a reply that is taken for that of the next call to a service.
#[tokio::test]
async fn copy_of_an_earlier_reply_of_a_service_reaches_no_other_call() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let proxy = RepeatingProxy::start(service.address(), Duration::ZERO).await;
    let client = ServiceClient::default();
    for number in 0..3 {
        let key = number.to_string().into();
        let call = client.call(proxy.address, "confirm".into(), Some(key), "b".into());
        assert_eq!(call.await.unwrap().status, 200);
        let load = client.load(proxy.address).await.unwrap();
        assert_eq!(load.slot_count, 64);
    }
    assert_eq!(proxy.connection_count(), 6);
}
