use super::*;

/// Time between rounds of questions.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Most instances that are asked in one round. Each answer also tells of others, so few are enough.
const MAX_ASKED_COUNT: usize = 4;
/// Revision after all others, so that the answer contains no targets.
const NO_TARGETS: u64 = u64::MAX;

/// Asks instances for a sign of activity before they are considered dead. Without it, live instances would be
/// dropped after the loss of those that pass signs on.
pub async fn ask_silent_instances(
    router: Arc<Router>,
    relay: Arc<dyn Relay>,
    row: InstanceRow,
    shared: Arc<SharedState>,
) {
    let mut round: usize = 0;
    loop {
        sleep(ASK_INTERVAL).await;
        let now = clock::now();
        let mut silent = shared.with_membership(|membership| membership.silent(now));
        // Other instances report this one too.
        silent.retain(|instance| instance.id != row.id);
        if silent.is_empty() || router.is_leaving() {
            continue;
        }
        // Starts elsewhere in each round, so that dead instances do not keep others from being asked.
        round = round.wrapping_add(MAX_ASKED_COUNT);
        let first = round % silent.len();
        silent.rotate_left(first);
        let asked = silent.into_iter().take(MAX_ASKED_COUNT);
        let asked = asked.map(|instance| ask_instance(&router, &*relay, &row, &shared, instance));
        join_all(asked).await;
    }
}

async fn ask_instance(
    router: &Router,
    relay: &dyn Relay,
    row: &InstanceRow,
    shared: &SharedState,
    instance: Instance,
) {
    let instances = router.instances();
    let query = question(router, row, shared, &instances);
    // All instances receive queries at the same port.
    let address = SocketAddr::new(instance.address.ip(), row.relay_address.port());
    let asked_at = clock::now();
    let reply = relay.ask(address, query).await;
    tracing::info!(
        instance = &*instance.id,
        is_answered = reply.is_ok(),
        error = reply.as_ref().err().map(tracing::field::display),
        "asked a silent instance"
    );
    let tree = match reply {
        Err(_) => {
            shared.with_membership(|membership| {
                membership.record_unanswered(asked_at, &instance.id);
            });
            return;
        }
        Ok(RelayReply::Redirect(tree)) => Some(tree),
        Ok(RelayReply::Answer(answer)) => answer.tree,
        Ok(RelayReply::DatedAnswer(answer, signs)) => {
            let list = ReceivedInstances {
                age: answer.instances_age,
                answered_at: asked_at,
                instances: answer.instances.unwrap_or(instances),
                signs: Some(signs),
            };
            shared.with_membership(|membership| membership.merge_received(&row.id, list));
            answer.tree
        }
    };
    shared.record_contact(clock::now());
    shared.with_membership(|membership| membership.merge_listed([(instance, asked_at)]));
    if let Some(tree) = tree {
        shared.set_tree(tree, row.relay_address);
    }
}

/// Query of this instance, which lists `instances`, for a sign of activity. It reports nothing else.
fn question(
    router: &Router,
    row: &InstanceRow,
    shared: &SharedState,
    instances: &[Instance],
) -> Query {
    let mut query = Query {
        avoided: Vec::new(),
        catalog_version: router.catalog().version(),
        crashes: Vec::new(),
        departures: Vec::new(),
        instances_digest: digest(instances),
        is_leaving: false,
        loads: None,
        members: Vec::new(),
        revision: NO_TARGETS,
        row: row.clone(),
        tree_version: shared.tree_version(),
        wait: Duration::ZERO,
    };
    query.accept_dated_answers();
    query
}
