use super::*;

/// How a fake server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    /// It stopped at once and closed its connections, or its task failed.
    Crashed,
    /// It shut down gracefully, after its work had finished.
    Stopped,
}

/// Signals the crash or graceful shutdown of one server to all of its tasks.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    /// Whether the registration has tried to report to the platform that the server leaves; also
    /// true if there is no registration.
    departure_announced: watch::Sender<bool>,
    crashed: watch::Sender<bool>,
    leaving_since: watch::Sender<Option<Instant>>,
}

impl Lifecycle {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            departure_announced: watch::Sender::new(false),
            crashed: watch::Sender::new(false),
            leaving_since: watch::Sender::new(None),
        })
    }

    pub(crate) fn set_departure_announced(&self) {
        self.departure_announced.send_replace(true);
    }

    pub(crate) async fn wait_departure_announced(&self) {
        let mut receiver = self.departure_announced.subscribe();
        let _ = receiver.wait_for(|announced| *announced).await;
    }

    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }

    pub(crate) async fn wait_crashed(&self) {
        let mut receiver = self.crashed.subscribe();
        let _ = receiver.wait_for(|crashed| *crashed).await;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.borrow().is_some()
    }

    pub(crate) fn leave(&self) {
        self.leaving_since.send_if_modified(|leaving_since| {
            if leaving_since.is_some() {
                return false;
            }
            *leaving_since = Some(Instant::now());
            true
        });
    }

    pub(crate) async fn wait_leaving(&self) {
        let mut receiver = self.leaving_since.subscribe();
        let _ = receiver.wait_for(Option::is_some).await;
    }

    /// Time since the start of the graceful shutdown, in milliseconds; none before it.
    pub(crate) fn leaving_for_ms(&self) -> Option<u64> {
        let leaving_since = (*self.leaving_since.borrow())?;
        u64::try_from(leaving_since.elapsed().as_millis()).ok()
    }
}
