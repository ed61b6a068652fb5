use super::*;

/// A row in the platform's table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Unique key of the row.
    pub key: Arc<str>,
    /// Content of the row, as text.
    pub value: Arc<str>,
    /// Version that increases with each write of the row. Invariant: at least 1.
    pub version: RowVersion,
}

/// Precondition of a transaction on one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; 0 requires that the row does not exist.
    pub version: RowVersion,
}

/// Write of one row in a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New value; none deletes the row.
    pub value: Option<Arc<str>>,
}

/// Request to the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRequest {
    /// Reads rows by key; rows that do not exist are omitted from the reply.
    Read {
        /// Keys to read.
        keys: Vec<Arc<str>>,
    },
    /// Reads rows with `from <= key < to` in key order.
    Scan {
        /// First key, inclusive.
        from: Arc<str>,
        /// Maximum number of rows in the reply.
        limit_count: u32,
        /// End of the key range, exclusive.
        to: Arc<str>,
    },
    /// Applies all writes if every condition holds, and none otherwise.
    Transact {
        /// Preconditions, all of which must hold.
        conditions: Vec<Condition>,
        /// Writes to apply atomically.
        writes: Vec<Write>,
    },
}

/// Reply of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// All writes were applied. Each written row has this version, which is greater than that of
    /// every earlier transaction.
    Committed {
        /// Version of the written rows.
        version: RowVersion,
    },
    /// A condition did not hold and nothing was written. Contains the current rows of all
    /// conditions.
    Conflict {
        /// Current rows; rows that do not exist are omitted.
        rows: Vec<Row>,
    },
    /// Result of a read or scan.
    Rows {
        /// Rows that were found.
        rows: Vec<Row>,
    },
}

/// Why the table service did not reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFailure {
    /// The request was sent but no reply arrived; a transaction may have taken effect or may still
    /// do so.
    Ambiguous,
    /// The request was not carried out.
    Unavailable,
}
