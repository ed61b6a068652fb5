//! Guards against a reply whose head is cut and continues with a copy of an earlier reply of its connection: the two
//! look like a single head.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    support::{
        CallerRequest,
        kept_target::{Script, kept_target, refusal, reply},
        setup,
    },
    yare::parameterized,
};

const EVENT: &str = "id: 1\ndata: x\n\n";

/// Guards against a caller that gets the text of another reply as its answer, or is told "not run" for a request that
/// runs. The value of a header ends with the first line of the copy, and the headers behind it are those of the copy.
#[parameterized(
    failure = { RepeatPolicy::Once, reply("500 Internal Server Error", "id0", "x-signature: t\r\n", "failed") },
    not_run = { RepeatPolicy::Once, refusal("id0", "") },
    not_run_without_id = { RepeatPolicy::Once, refusal("", "") },
    stream = { RepeatPolicy::Stream, reply("200 OK", "id0", "x-signature: t\r\n", EVENT) },
    success = { RepeatPolicy::Once, reply("200 OK", "id0", "x-signature: t\r\n", "another's") },
)]
#[test_macro(tokio::test)]
async fn copy_behind_a_cut_head_is_not_an_answer(repeat: RepeatPolicy, copy: String) {
    let target = kept_target(move |ids| match &**ids.last().unwrap() {
        "id0" if copy.contains("x-id") => Script::at_once(&*copy),
        "id0" => Script::at_once(refusal("id0", "")),
        own => {
            let cut = format!("HTTP/1.1 200 OK\r\nx-id: {own}\r\nx-signature: s\r\nx-note: a");
            Script::at_once(cut + &copy).close()
        }
    })
    .await;
    let router = setup(repeat, &[&target.target]).start().await;
    let mut statuses = Vec::new();
    for id in ["id0", "id1"] {
        let request = CallerRequest {
            id,
            ..CallerRequest::default()
        };
        statuses.push(router.send(request).await.0.as_u16());
    }
    assert_eq!(statuses[1], 502);
    assert_eq!(target.ids(), ["id0", "id1"]);
}
