use super::*;

/// Result of one read of the configuration.
#[derive(Clone, Debug, Default)]
pub struct CatalogRead {
    /// Configuration returned by the read; none if it has not changed.
    pub catalog: Option<Arc<Catalog>>,
    /// Number of times that the source was restored from an older copy.
    pub era: u64,
    /// Time at which the read was sent, on a clock that includes time spent suspended.
    pub sent_at: Duration,
    /// Whether the read confirmed the newest version. False when the newest version could not be
    /// read.
    pub is_current: bool,
    /// Newest version in the source; 0 if there is none. It may be older than one that was read before, if
    /// the source was restored from a copy.
    pub version: u64,
}

/// Source of configurations.
pub trait CatalogSource: Send {
    /// Waits at most `wait` for a change, and returns immediately if there is one already.
    ///
    /// # Errors
    ///
    /// Returns an error when the source does not answer.
    fn read(&mut self, wait: Duration) -> BoxFuture<'_, Result<CatalogRead, Error>>;
}

/// Change of the list of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TargetChange {
    /// The complete list.
    All(Vec<Target>),
    /// Changed targets, and the ids of entries that were removed or no longer describe a usable
    /// target.
    Some(Vec<Target>, Vec<Arc<str>>),
}

/// Source of the list of targets.
pub trait TargetSource: Send {
    /// Waits at most `wait` for a change.
    ///
    /// # Errors
    ///
    /// Returns an error when the source does not answer.
    fn read(&mut self, wait: Duration) -> BoxFuture<'_, Result<TargetChange, Error>>;

    /// Makes the next read return the complete list.
    fn restart(&mut self);

    /// Number of times that the source was restored from an older copy, as of the last read; none before the
    /// first one.
    fn era(&self) -> Option<u64>;
}

/// Result of one read of the leader's row.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    /// Time since the leader wrote its row, by the clock of the store.
    pub age: Duration,
    /// Number of times that the store was restored from an older copy.
    pub era: u64,
    /// Row and its version; none if there is no row.
    pub row: Option<(LeaderRow, u64)>,
}

/// Table in the store that holds the leader's row.
pub trait LeaderTable: Send {
    /// Reads the row.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn read(&mut self) -> BoxFuture<'_, Result<LeaderView, Error>>;

    /// Writes the row if its version is still `expected_version`, where 0 stands for a row that
    /// does not exist. Returns the new version, or none if another write came first or the store was
    /// restored since the row was read.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer; the write may still take effect later.
    fn write(
        &mut self,
        row: LeaderRow,
        expected_version: u64,
    ) -> BoxFuture<'_, Result<Option<u64>, Error>>;
}

/// What the store holds of requests, and parts of prompts, that crashed targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredCrashes {
    /// Requests that are refused as a whole.
    pub requests: Vec<CrashReport>,
    /// Victims of crashes because of which parts of prompts are refused.
    pub victims: Vec<PhasedVictimReport>,
}

/// Table in the store with the requests, and parts of prompts, that crashed targets.
pub trait CrashTable: Send {
    /// Reads all records that have not expired.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer.
    fn read(&mut self) -> BoxFuture<'_, Result<StoredCrashes, Error>>;

    /// Replaces the records of requests.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer; the write may still take effect later.
    fn write_requests<'a>(
        &'a mut self,
        requests: &[CrashReport],
    ) -> BoxFuture<'a, Result<(), Error>>;

    /// Replaces the records of victims.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer; the write may still take effect later.
    fn write_victims<'a>(
        &'a mut self,
        victims: &[PhasedVictimReport],
    ) -> BoxFuture<'a, Result<(), Error>>;
}
