use super::*;

/// States of `charts/order.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderState {
    Idle,
    Reading,
    Waiting,
    Writing,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderEvent {
    Committed,
    CommittedLate,
    Failed,
    Foreign,
    NoToken,
    Ready,
    Seen,
    StoreFailed,
    Waited,
    Wanted,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderAction {
    BackOff,
    Read,
    Send,
    StartWait,
    Write,
}

pub(crate) static ORDER_CHART: LazyLock<Chart<OrderState, OrderEvent, OrderAction>> =
    LazyLock::new(|| {
        Chart::parse(include_str!("../../../../charts/order.json"))
            .expect("charts/order.json names what this file names")
    });

/// An engine that this instance orders.
#[derive(Clone, Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) address: SocketAddr,
    /// Request to the store whose reply the current step needs.
    pub(crate) store_ticket: Option<StoreTicket>,
    /// Shards that the engine gives up, or loads anew, by the step in progress.
    pub(crate) removed_shards: Vec<Shard>,
    /// Time before which no step starts.
    pub(crate) not_before: Duration,
    /// Desired set of the row, as last read or written, with the version of the row.
    pub(crate) row: Option<(WantedState, RowVersion)>,
    /// Version of the row as last read or written; 0 for absent.
    pub(crate) row_version: RowVersion,
    pub(crate) state: OrderState,
    /// Set that the step in progress is to order.
    pub(crate) wanted: WantedState,
    /// End of the wait for an outstanding order.
    pub(crate) waiting_until: Duration,
    /// When the last write was sent.
    pub(crate) written_at: Duration,
}

impl OwnedEngine {
    /// Whether a step may start.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        self.state == OrderState::Idle && now >= self.not_before
    }

    /// Sets what the next step is to order of an engine that holds `models`.
    pub(crate) fn set_wanted(&mut self, wanted: WantedState, models: &[LoadedModel]) {
        let removed = models.iter().filter(|held| !wanted.models.contains(held));
        self.removed_shards = removed.map(shard_of).collect();
        self.wanted = wanted;
    }

    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            store_ticket: None,
            removed_shards: Vec::new(),
            not_before: Duration::ZERO,
            row: None,
            row_version: 0,
            state: ORDER_CHART.initial(),
            wanted: WantedState::default(),
            waiting_until: Duration::ZERO,
            written_at: Duration::ZERO,
        }
    }
}
