//! Builders of submissions, operator lists and nodes.

use super::*;

/// Lists whose plans let work wait until its deadline.
pub fn lists(max_concurrent_count: u32) -> Arc<OperatorLists> {
    lists_with_wait(max_concurrent_count, 600_000)
}

pub fn lists_with_wait(max_concurrent_count: u32, max_wait_ms: u64) -> Arc<OperatorLists> {
    let mut lists = OperatorLists {
        version: if max_concurrent_count == 64 { 1 } else { 2 },
        ..OperatorLists::default()
    };
    for (account, weight) in [("a", 1), ("b", 3)] {
        let plan = Plan {
            max_concurrent_count,
            max_queued_count: 200,
            max_wait_ms,
            share_weight: weight,
            ..Plan::default()
        };
        lists.plans.insert(account.into(), plan);
        let account_entry = Account {
            plan: account.into(),
            ..Account::default()
        };
        lists.accounts.insert(account.into(), account_entry);
    }
    Arc::new(lists)
}

pub fn generate(account: &str, request: &str) -> GenerateSubmission {
    GenerateSubmission {
        account: account.into(),
        deadline: Duration::from_secs(60),
        delivered_tokens: 0,
        fingerprint: request
            .bytes()
            .fold(7, |hash, byte| hash * 31 + u64::from(byte)),
        max_tokens: 4_096,
        model: "m".into(),
        prefix_hashes: Vec::new(),
        prompt_tokens: 20,
        request: request.into(),
    }
}

pub fn call(account: &str, request: &str, kind: OperationKind) -> CallSubmission {
    CallSubmission {
        account: account.into(),
        body_hash: "hash".into(),
        deadline: Duration::from_secs(10),
        fingerprint: request
            .bytes()
            .fold(9, |hash, byte| hash * 31 + u64::from(byte)),
        key: (kind == OperationKind::NonRepeatable).then(|| request.into()),
        kind,
        operation: "op".into(),
        request: request.into(),
        service: "s".into(),
    }
}

pub fn targets(route: &Route) -> Vec<TargetId> {
    route
        .stages
        .iter()
        .map(|stage| stage.target.clone())
        .collect()
}

pub fn address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 9_000 + index as u16).into()
}

pub fn service() -> ListingRole {
    let operations = vec![ServiceOperation {
        kind: OperationKind::Idempotent,
        name: "op".into(),
    }];
    ListingRole::Service {
        operations,
        service: "s".into(),
    }
}

pub fn node(index: usize, domain: usize, admission: AdmissionSettings) -> Node {
    let settings = NodeSettings {
        admission,
        seed: index as u64 + 1,
        ..NodeSettings::default()
    };
    let identity = Identity {
        address: address(index),
        failure_domain: format!("d{domain}").into(),
        incarnation: 1,
        instance: format!("n{index}").into(),
        peer_address: address(200 + index),
        region: "r".into(),
    };
    Node::new(settings, identity, SystemTime::UNIX_EPOCH)
}
