use super::*;

/// Result of one read of the configuration.
#[derive(Clone, Debug, Default)]
pub struct CatalogRead {
    /// A configuration that came with the read; none if there was no change.
    pub catalog: Option<Arc<Catalog>>,
    /// When the read was sent, on the clock that counts suspension.
    pub sent_at: Duration,
    /// Whether the newest version is known after the read. False when it could not be read.
    pub is_current: bool,
}

/// Where configurations come from.
pub trait CatalogSource: Send {
    /// Waits for a change for at most `wait`, and returns at once if one is already there.
    ///
    /// # Errors
    ///
    /// Returns an error when the source does not answer.
    fn read(&mut self, wait: Duration) -> BoxFuture<'_, Result<CatalogRead, Error>>;
}

/// Change of the listed targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TargetChange {
    /// All targets.
    All(Vec<Target>),
    /// Changed targets, and ids of entries that are gone or name no target to use.
    Some(Vec<Target>, Vec<Arc<str>>),
}

/// Where the list of targets comes from.
pub trait TargetSource: Send {
    /// Waits for a change for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error when the source does not answer.
    fn read(&mut self, wait: Duration) -> BoxFuture<'_, Result<TargetChange, Error>>;
}

/// Row of the leader as it was read.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    /// Time since the leader wrote its row.
    pub age: Duration,
    /// Row, with its version; none if there is no row.
    pub row: Option<(LeaderRow, u64)>,
}

/// Table that holds the row of the leader.
pub trait LeaderTable: Send {
    /// Reads the row.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn read(&mut self) -> BoxFuture<'_, Result<LeaderView, Error>>;

    /// Writes the row if its version is still `expected_version` (0: no row). Returns the new version,
    /// or none if another write came first.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer; the write may then be done later.
    fn write(
        &mut self,
        row: LeaderRow,
        expected_version: u64,
    ) -> BoxFuture<'_, Result<Option<u64>, Error>>;
}
