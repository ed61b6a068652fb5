use super::*;

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Layers that it holds.
    pub held: Option<LayerRange>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Orders that it accepted since its start.
    pub order_count: u64,
    /// Factor by which it is slower than its hardware.
    pub slowness: f64,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It has begun or is done.
    Accepted,
    /// The order does not fit the engine's state.
    Conflict,
    /// A newer leader has given an order.
    Fenced,
}

/// Engines, which hold layers as ordered.
pub trait Engines: Send + Sync {
    /// Asks an engine for its state.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer, and `Error::Held` when it wants no requests.
    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, Error>>;

    /// Orders an engine to hold layers, if it has accepted `order_count` orders so far.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not known whether the order is carried out.
    fn place(
        &self,
        address: SocketAddr,
        range: LayerRange,
        fence: u64,
        order_count: u64,
    ) -> BoxFuture<'_, Result<OrderReply, Error>>;

    /// Moves a running request to another path with the same first stage, where it is. Returns
    /// whether the engine does so.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not known whether the request was moved.
    fn repath(&self, request: &str, path: &Path) -> BoxFuture<'_, Result<bool, Error>>;
}
