//! Table service in memory, with conditions and row versions like the platform's.

use {
    std::{collections::BTreeMap, sync::Arc},
    types::{Condition, Row, StoreReply, StoreRequest, Write},
};

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<Arc<str>, Row>,
    version: u64,
}

impl Table {
    pub fn run(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { keys } => StoreReply::Rows {
                rows: keys
                    .iter()
                    .filter_map(|key| self.rows.get(key))
                    .cloned()
                    .collect(),
            },
            StoreRequest::Scan {
                from,
                limit_count,
                to,
            } => {
                let range = self.rows.range(from.clone()..to.clone());
                let rows = range
                    .take(*limit_count as usize)
                    .map(|(_, row)| row.clone());
                StoreReply::Rows {
                    rows: rows.collect(),
                }
            }
            StoreRequest::Transact { conditions, writes } => self.transact(conditions, writes),
        }
    }

    fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> StoreReply {
        let version = |key| self.rows.get(key).map_or(0, |row| row.version);
        if conditions
            .iter()
            .any(|one| version(&one.key) != one.version)
        {
            let keys = conditions.iter().map(|one| &one.key);
            let rows = keys.filter_map(|key| self.rows.get(key)).cloned().collect();
            return StoreReply::Conflict { rows };
        }
        self.version += 1;
        let version = self.version;
        for write in writes {
            let key = write.key.clone();
            let Some(value) = write.value.clone() else {
                self.rows.remove(&key);
                continue;
            };
            let row = Row {
                key: key.clone(),
                value,
                version,
            };
            self.rows.insert(key, row);
        }
        StoreReply::Committed { version }
    }

    /// Field of a row's value as JSON text; empty if the row is absent.
    pub fn field(&self, key: &str, field: &str) -> String {
        let Some(row) = self.rows.get(key) else {
            return String::new();
        };
        let value: serde_json::Value = serde_json::from_str(&row.value).unwrap();
        value[field].to_string()
    }
}
