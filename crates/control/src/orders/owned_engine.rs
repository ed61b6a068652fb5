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

/// Events of `charts/order.json`.
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

/// Actions of `charts/order.json`.
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
            .expect("charts/order.json has the states, events and actions of this file")
    });

/// Engine that this instance owns, with the state of its order.
#[derive(Clone, Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) address: SocketAddr,
    /// Ticket of the store request whose reply the current step waits for.
    pub(crate) store_ticket: Option<StoreTicket>,
    /// Shards that the engine unloads, or reloads with other adapters, by the order in progress.
    pub(crate) removed_shards: Vec<Shard>,
    /// Time before which no order starts.
    pub(crate) not_before: Duration,
    /// Desired state in the row, as last read or written, with the version of the row.
    pub(crate) row: Option<(WantedState, RowVersion)>,
    /// Version of the row as last read or written; 0 if the row is absent.
    pub(crate) row_version: RowVersion,
    pub(crate) state: OrderState,
    /// Desired state that the order in progress states.
    pub(crate) wanted: WantedState,
    /// Time up to which the outstanding order is waited for.
    pub(crate) waiting_until: Duration,
    /// Time at which the last write was sent.
    pub(crate) written_at: Duration,
}

impl OwnedEngine {
    /// Whether an order may start.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        self.state == OrderState::Idle && now >= self.not_before
    }

    /// Sets the desired state of the next order, for an engine that holds `models`.
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
