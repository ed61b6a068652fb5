use super::*;

/// A row of the platform's table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Arc<str>,
    /// Version; grows with each write of the row. Invariant: at least 1.
    pub version: RowVersion,
}

/// Condition of a transaction on one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// Key.
    pub key: Arc<str>,
    /// Version that the row must have; 0 requires that it is absent.
    pub version: RowVersion,
}

/// Write of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// Key.
    pub key: Arc<str>,
    /// New value; none deletes the row.
    pub value: Option<Arc<str>>,
}

/// Request to the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRequest {
    /// Reads rows by key; absent rows are left out of the reply.
    Read {
        /// Keys.
        keys: Vec<Arc<str>>,
    },
    /// Reads rows with `from <= key < to`, in order of their keys.
    Scan {
        /// First key.
        from: Arc<str>,
        /// Most rows in the reply.
        limit_count: u32,
        /// Key after the last.
        to: Arc<str>,
    },
    /// Applies all writes if all conditions hold, else none.
    Transact {
        /// Conditions.
        conditions: Vec<Condition>,
        /// Writes.
        writes: Vec<Write>,
    },
}

/// Reply of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// All writes are applied. Each written row has this version, which is greater than that of
    /// every earlier transaction.
    Committed {
        /// Version of the written rows.
        version: RowVersion,
    },
    /// A condition did not hold; nothing was written. Holds the present rows of all conditions.
    Conflict {
        /// Rows; absent rows are left out.
        rows: Vec<Row>,
    },
    /// Result of a read or scan.
    Rows {
        /// Rows.
        rows: Vec<Row>,
    },
}

/// Why the table service gave no reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFailure {
    /// The request was sent and no reply came; a transaction may still take effect, now or later.
    Ambiguous,
    /// The request was not carried out.
    Unavailable,
}
