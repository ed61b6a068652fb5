use super::*;

/// Maximum rows in one reply to a scan, whatever limit the request asks for.
const MAX_SCAN_ROW_COUNT: usize = 10_000;

/// Rows of the platform's transactional table.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    last_version: RowVersion,
    rows: BTreeMap<Arc<str>, Row>,
}

impl Rows {
    /// Answers a read or a scan; none for a transaction.
    pub(crate) fn read(&self, request: &StoreRequest) -> Option<StoreReply> {
        match request {
            StoreRequest::Read { keys } => Some(StoreReply::Rows {
                rows: self.existing_rows(keys),
            }),
            StoreRequest::Scan {
                from,
                limit_count,
                to,
            } => {
                let limit_count = usize::try_from(*limit_count).unwrap_or(MAX_SCAN_ROW_COUNT);
                let mut rows = Vec::new();
                // `BTreeMap::range` panics on a range whose end is before its start.
                if from < to {
                    for row in self.rows.range(from.clone()..to.clone()) {
                        if rows.len() >= limit_count.min(MAX_SCAN_ROW_COUNT) {
                            break;
                        }
                        rows.push(row.1.clone());
                    }
                }
                Some(StoreReply::Rows { rows })
            }
            StoreRequest::Transact { .. } => None,
        }
    }

    /// Applies all writes if all conditions hold; otherwise applies none and returns the current
    /// rows of the conditions.
    pub(crate) fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> StoreReply {
        let conditions_hold = conditions
            .iter()
            .all(|condition| self.version(&condition.key) == condition.version);
        if !conditions_hold {
            let keys: Vec<Arc<str>> = conditions.iter().map(|entry| entry.key.clone()).collect();
            return StoreReply::Conflict {
                rows: self.existing_rows(&keys),
            };
        }
        self.last_version += 1;
        let version = self.last_version;
        for Write { key, value } in writes {
            match value {
                None => {
                    self.rows.remove(key);
                }
                Some(value) => {
                    let row = Row {
                        key: key.clone(),
                        value: value.clone(),
                        version,
                    };
                    self.rows.insert(key.clone(), row);
                }
            }
        }
        StoreReply::Committed { version }
    }

    fn existing_rows(&self, keys: &[Arc<str>]) -> Vec<Row> {
        let mut rows = Vec::new();
        for key in keys {
            if let Some(row) = self.rows.get(key) {
                rows.push(row.clone());
            }
        }
        rows
    }

    fn version(&self, key: &str) -> RowVersion {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
