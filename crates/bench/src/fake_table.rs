use super::*;

/// Fake of the platform's table with versioned rows; counts requests and simulates outages.
#[derive(Debug, Default)]
pub(crate) struct FakeTable {
    pub(crate) is_down: bool,
    pub(crate) read_count: u64,
    pub(crate) write_count: u64,
    rows: BTreeMap<Arc<str>, Row>,
    version: RowVersion,
}

impl FakeTable {
    /// Creates a table that holds a snapshot of the operator lists.
    pub(crate) fn with_lists(lists: &OperatorLists) -> Result<Self> {
        let mut table = Self::default();
        let rows = [
            ("config/head", lists.version.to_string()),
            ("config/snapshot", serde_json::to_string(lists)?),
        ];
        let writes = rows.map(|(key, value)| Write {
            key: key.into(),
            value: Some(value.into()),
        });
        table.transact(&[], &writes);
        Ok(table)
    }

    pub(crate) fn execute(
        &mut self,
        request: &StoreRequest,
    ) -> std::result::Result<StoreReply, StoreFailure> {
        if self.is_down {
            return Err(StoreFailure::Unavailable);
        }
        match request {
            StoreRequest::Read { keys } => {
                self.read_count += 1;
                Ok(StoreReply::Rows {
                    rows: self.existing_rows(keys.iter()),
                })
            }
            StoreRequest::Scan {
                from,
                limit_count,
                to,
            } => {
                self.read_count += 1;
                let range = self.rows.range(from.clone()..to.clone());
                let rows = range
                    .take(*limit_count as usize)
                    .map(|(_, row)| row.clone())
                    .collect();
                Ok(StoreReply::Rows { rows })
            }
            StoreRequest::Transact { conditions, writes } => {
                self.write_count += 1;
                Ok(self.transact(conditions, writes))
            }
        }
    }

    /// Rows of those keys that exist.
    fn existing_rows<'a>(&self, keys: impl Iterator<Item = &'a Arc<str>>) -> Vec<Row> {
        keys.filter_map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Makes all writes if every key of the conditions is at its version, where 0 means absent;
    /// otherwise makes none and returns the current rows of these keys.
    fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> StoreReply {
        for condition in conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                let keys = conditions.iter().map(|condition| &condition.key);
                return StoreReply::Conflict {
                    rows: self.existing_rows(keys),
                };
            }
        }
        self.version += 1;
        for write in writes {
            let key = write.key.clone();
            let Some(value) = write.value.clone() else {
                self.rows.remove(&key);
                continue;
            };
            self.rows.insert(
                key.clone(),
                Row {
                    key,
                    value,
                    version: self.version,
                },
            );
        }
        StoreReply::Committed {
            version: self.version,
        }
    }
}
