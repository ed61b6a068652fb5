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

/// Rows of the instances, and the row of the leader with its version.
#[derive(Clone, Debug, Default)]
pub struct InstanceView {
    /// Instances, with the time since each wrote its row.
    pub instances: Vec<(InstanceRow, Duration)>,
    /// Leader, with the version of its row.
    pub leader: Option<(LeaderRow, u64)>,
    /// Time since the leader wrote its row.
    pub leader_age: Duration,
}

/// Table in which instances find each other.
pub trait InstanceTable: Send {
    /// Reads all rows.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn read(&mut self) -> BoxFuture<'_, Result<InstanceView, Error>>;

    /// Writes the row of this instance.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn beat(&mut self, row: InstanceRow) -> BoxFuture<'_, Result<(), Error>>;

    /// Removes the row of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn remove(&mut self, id: Arc<str>) -> BoxFuture<'_, Result<(), Error>>;

    /// Writes the leader's row if its version is still `expected_version` (0: no row). Returns the
    /// new version, or none if another write came first.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn lead(
        &mut self,
        row: LeaderRow,
        expected_version: u64,
    ) -> BoxFuture<'_, Result<Option<u64>, Error>>;
}
