use super::*;

/// Usage text with the addresses of the entry instances and example requests.
pub(crate) fn guide(entries: &[SocketAddr]) -> String {
    let (first, second) = (entries[0], entries[1]);
    format!(
        r#"Entry instances for callers and operators: http://{first} and http://{second}

Ask for an address:
  curl -s -H 'Authorization: Bearer {CALLER_KEY}' 'http://{first}/v1/addresses?model={MODEL}'

Stream a completion over two pipeline stages:
  curl -sN -H 'Authorization: Bearer {CALLER_KEY}' http://{first}/v1/completions \
    -d '{{"model": "{MODEL}", "prompt": "Describe the lagoon.", "max_tokens": 40, "stream": true}}'

Confirm a booking once, although the call is sent twice, to different instances:
  curl -s -H 'Authorization: Bearer {CALLER_KEY}' -H 'Idempotency-Key: booking-1' \
    http://{first}/v1/services/{SERVICE}/confirm -d '{{"room": 12}}'
  curl -s -H 'Authorization: Bearer {CALLER_KEY}' -H 'Idempotency-Key: booking-1' \
    http://{second}/v1/services/{SERVICE}/confirm -d '{{"room": 12}}'

Edit the plan of the example account, and see where the edit is in force:
  curl -s -X PUT -H 'Authorization: Bearer {OPERATOR_KEY}' http://{first}/admin/plans/demo \
    -d '{{"models": ["{MODEL}"], "services": ["{SERVICE}"], "max_answer_tokens": 100}}'
  curl -s -H 'Authorization: Bearer {OPERATOR_KEY}' http://{second}/admin/status

Ctrl-C stops everything gracefully."#
    )
}
