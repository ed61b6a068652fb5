use super::*;

/// Loads that the weight store takes, as a token bucket in one row of the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenRow {
    bucket: Option<Bucket>,
    /// Whether the row holds no bucket that an instance can have written.
    pub(crate) is_faulty: bool,
    /// Version of the row; 0 for absent.
    pub(crate) version: RowVersion,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Bucket {
    /// Wall-clock time in milliseconds at which `count` was true.
    at_ms: u64,
    count: f64,
    /// Engines that give up shards and whose reports may not show it yet.
    #[serde(default)]
    moves: Vec<Move>,
}

/// Engine that is ordered to give up shards. Owners write these rows one after the other, so that
/// no two of them take the same shard from two engines at once.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Move {
    pub(crate) shards: Vec<Shard>,
    pub(crate) target: TargetId,
    /// Wall-clock time in milliseconds after which the reports show it.
    pub(crate) until_ms: u64,
}

impl Bucket {
    /// Whether an instance can have written it: a load takes one of at least one token, and clocks
    /// differ by less than the limit.
    fn is_plausible(&self, wall_ms: u64) -> bool {
        let longest_ms = wall_ms.saturating_add(MAX_MOVE_MS);
        self.at_ms <= wall_ms.saturating_add(MAX_AHEAD_MS)
            && self.count >= 0.0
            && self.moves.iter().all(|entry| entry.until_ms <= longest_ms)
    }
}

impl TokenRow {
    /// Finds the row among those of a read.
    pub(crate) fn from_rows(rows: &[Row], wall_ms: u64) -> Self {
        let row = rows.iter().find(|row| &*row.key == TOKEN_ROW_KEY);
        let parsed = row.and_then(|row| serde_json::from_str::<Bucket>(&row.value).ok());
        let bucket = parsed.filter(|bucket| bucket.is_plausible(wall_ms));
        Self {
            is_faulty: row.is_some() && bucket.is_none(),
            bucket,
            version: row.map_or(0, |row| row.version),
        }
    }

    /// Whether another engine gives up one of these shards now.
    pub(crate) fn has_conflicting_move(
        &self,
        wall_ms: u64,
        target: &TargetId,
        shards: &[Shard],
    ) -> bool {
        let moves = self.bucket.iter().flat_map(|bucket| &bucket.moves);
        let mut others = moves.filter(|other| other.target != *target && other.until_ms > wall_ms);
        others.any(|other| other.shards.iter().any(|shard| shards.contains(shard)))
    }

    pub(crate) fn has_token(&self, wall_ms: u64, settings: &OrderSettings) -> bool {
        self.count(wall_ms, settings) >= 1.0
    }

    /// Value of the row after one load.
    pub(crate) fn after_load(&self, wall_ms: u64, own: Move, settings: &OrderSettings) -> Arc<str> {
        let moves = self.bucket.iter().flat_map(|bucket| &bucket.moves);
        let is_kept = |entry: &&Move| entry.until_ms > wall_ms && entry.target != own.target;
        let mut moves: Vec<Move> = moves.filter(is_kept).cloned().collect();
        if !own.shards.is_empty() {
            moves.push(own);
        }
        let last_ms = self.bucket.as_ref().map_or(0, |bucket| bucket.at_ms);
        to_json(&Bucket {
            // An instance whose clock is behind must not add the difference twice.
            at_ms: wall_ms.max(last_ms),
            count: self.count(wall_ms, settings) - 1.0,
            moves,
        })
    }

    fn count(&self, wall_ms: u64, settings: &OrderSettings) -> f64 {
        let Some(bucket) = &self.bucket else {
            return settings.token_max_count;
        };
        let minutes = wall_ms.saturating_sub(bucket.at_ms) as f64 / 60_000.0;
        let count = bucket.count + minutes * settings.loads_per_minute;
        count.min(settings.token_max_count)
    }
}

/// Longest time by which the clock of the instance that wrote the row is ahead.
const MAX_AHEAD_MS: u64 = 60_000;

/// Longest time for which an engine can be noted as giving up shards.
const MAX_MOVE_MS: u64 = 3_600_000;

/// Row that spaces loads to the weight store's rate limit.
pub(crate) const TOKEN_ROW_KEY: &str = "order-tokens";
