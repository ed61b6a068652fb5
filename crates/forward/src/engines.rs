use super::*;

/// State that an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Layers that it has loaded; none if it reports none.
    pub held: Option<LayerRange>,
    /// Incarnation of the engine; none if it does not report it.
    pub incarnation: Option<Incarnation>,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Whether it has announced that it is leaving.
    pub is_leaving: bool,
    /// Number of orders that it has accepted since it started.
    pub order_count: u64,
    /// Requests per second that it takes from all instances together; none if it sets no limit.
    pub rate_limit_per_s: Option<f64>,
    /// Factor by which it is slower than expected from its hardware; 1 is normal speed.
    pub slowness: f64,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine has started or finished carrying out the order.
    Accepted,
    /// The order does not match the state of the engine.
    Conflict,
    /// The fence of the order is older than that of an earlier order, which came from a newer leader.
    Fenced,
}

/// Access to model engines, which load layers as ordered.
pub trait Engines: Send + Sync {
    /// Reads the state of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer, and `Error::RetryAfter` when it asks for a pause.
    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, Error>>;

    /// Orders an engine to load layers, on condition that it has accepted `order_count` orders so far.
    ///
    /// # Errors
    ///
    /// Returns an error when it is unknown whether the order will be carried out.
    fn place(
        &self,
        address: SocketAddr,
        range: LayerRange,
        fence: u64,
        order_count: u64,
    ) -> BoxFuture<'_, Result<OrderReply, Error>>;

    /// Moves a running request to another path with the same first stage. Returns whether the first
    /// stage accepted the move.
    ///
    /// # Errors
    ///
    /// Returns an error when it is unknown whether the request was moved.
    fn repath(&self, request: &str, path: &Path) -> BoxFuture<'_, Result<bool, Error>>;
}
