//! Guards against questions to the wrong instances: those that were active a moment ago, and the asking one itself.

mod support;

use {
    forward::Error,
    futures::{FutureExt, future::BoxFuture},
    reconcile::{
        InstanceRow, PhasedVictimAnswer, PhasedVictimQuery, Query, Relay, RelayReply, VictimAnswer,
        VictimQuery, ask_silent_instances,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{node, wait_until},
    tracing_mutex::stdsync::Mutex,
};

/// Records which instances are asked, and answers nothing.
#[derive(Default)]
struct RecordedQuestions(Mutex<Vec<SocketAddr>>);

impl Relay for RecordedQuestions {
    fn ask(&self, address: SocketAddr, _: Query) -> BoxFuture<'_, Result<RelayReply, Error>> {
        self.0.lock().expect("the addresses").push(address);
        async { Err(Error::Unknown("no answer".into())) }.boxed()
    }

    fn exchange_phased_victims(
        &self,
        _: SocketAddr,
        _: PhasedVictimQuery,
    ) -> BoxFuture<'_, Result<PhasedVictimAnswer, Error>> {
        async { Err(Error::Unknown("not served".into())) }.boxed()
    }

    fn exchange_victims(
        &self,
        _: SocketAddr,
        _: VictimQuery,
    ) -> BoxFuture<'_, Result<VictimAnswer, Error>> {
        async { Err(Error::Unknown("not served".into())) }.boxed()
    }
}

/// An instance that another one had reported to it asked itself on a quiet day, and counted the reply as contact with
/// others.
#[tokio::test]
async fn only_silent_instances_other_than_the_asking_one_are_asked() {
    let own = node("own", ([127, 0, 0, 1], 7).into());
    let row = |id: &str, number: u8| InstanceRow {
        address: ([127, 0, 0, number], 80).into(),
        id: id.into(),
        start: format!("{id}.1").into(),
        ..own.row.clone()
    };
    let now = clock::now();
    let silent_since = now.saturating_sub(Duration::from_millis(2_600));
    own.shared.with_membership(|members| {
        members.record_contact(silent_since, row("own", 1));
        members.record_contact(silent_since, row("silent", 2));
        members.record_contact(now, row("active", 3));
    });
    let questions = Arc::new(RecordedQuestions::default());
    tokio::spawn(ask_silent_instances(
        own.router.clone(),
        questions.clone(),
        own.row.clone(),
        own.shared.clone(),
    ));
    let asked = || questions.0.lock().expect("the addresses").clone();
    wait_until(|| asked().len() >= 2).await;
    let silent: SocketAddr = ([127, 0, 0, 2], 7).into();
    assert_eq!(asked()[..2], [silent, silent]);
}
