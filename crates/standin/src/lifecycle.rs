use super::*;

/// How a stand-in ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// At once, with all connections closed.
    Crashed,
    /// After its work was finished.
    Stopped,
}

/// Tells the parts of one stand-in that it is about to end.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    /// Whether the platform's list was told, or could not be told, that the stand-in leaves.
    announced: watch::Sender<bool>,
    crashed: watch::Sender<bool>,
    left_at: watch::Sender<Option<Instant>>,
}

impl Lifecycle {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            announced: watch::Sender::new(false),
            crashed: watch::Sender::new(false),
            left_at: watch::Sender::new(None),
        })
    }

    pub(crate) fn announce(&self) {
        self.announced.send_replace(true);
    }

    pub(crate) async fn announced(&self) {
        let mut receiver = self.announced.subscribe();
        let _ = receiver.wait_for(|announced| *announced).await;
    }

    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }

    pub(crate) async fn crashed(&self) {
        let mut receiver = self.crashed.subscribe();
        let _ = receiver.wait_for(|crashed| *crashed).await;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.left_at.borrow().is_some()
    }

    pub(crate) fn leave(&self) {
        self.left_at.send_if_modified(|left_at| {
            if left_at.is_some() {
                return false;
            }
            *left_at = Some(Instant::now());
            true
        });
    }

    pub(crate) async fn left(&self) {
        let mut receiver = self.left_at.subscribe();
        let _ = receiver.wait_for(Option::is_some).await;
    }

    /// Time since the stand-in started to leave, in milliseconds.
    pub(crate) fn left_since_ms(&self) -> Option<u64> {
        let left_at = (*self.left_at.borrow())?;
        u64::try_from(left_at.elapsed().as_millis()).ok()
    }
}
