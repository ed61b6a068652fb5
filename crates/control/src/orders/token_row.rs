use super::*;

/// Token bucket that limits model loads to the rate of the weight store, shared by all instances in
/// one row of the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenRow {
    bucket: Option<Bucket>,
    /// Whether the row exists but holds nothing that an instance can have written.
    pub(crate) is_faulty: bool,
    /// Version of the row; 0 if the row is absent.
    pub(crate) version: RowVersion,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Bucket {
    /// Wall-clock time in milliseconds at which the bucket held `count` tokens.
    at_ms: u64,
    count: f64,
    /// Engines that unload shards and whose reports may not show it yet.
    #[serde(default)]
    moves: Vec<Move>,
}

/// Engine that was ordered to unload shards. All owners write the one token row in turn, so that no
/// two of them take the same shard from two engines at once.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Move {
    pub(crate) shards: Vec<Shard>,
    pub(crate) target: TargetId,
    /// Wall-clock time in milliseconds after which the engine's reports show the change.
    pub(crate) until_ms: u64,
}

impl Bucket {
    /// Whether an instance can have written this bucket: a load takes one of at least one token, so
    /// the count is never negative, and the times are not further ahead than the limits below.
    fn is_plausible(&self, wall_ms: u64) -> bool {
        let longest_ms = wall_ms.saturating_add(MAX_MOVE_MS);
        self.at_ms <= wall_ms.saturating_add(MAX_AHEAD_MS)
            && self.count >= 0.0
            && self.moves.iter().all(|entry| entry.until_ms <= longest_ms)
    }
}

impl TokenRow {
    /// Parses the token row among the rows of a read.
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

    /// Whether another engine is unloading one of these shards now.
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

    /// Whether the bucket holds a token.
    pub(crate) fn has_token(&self, wall_ms: u64, settings: &OrderSettings) -> bool {
        self.count(wall_ms, settings) >= 1.0
    }

    /// Value of the row after taking one token and recording the move, if it unloads shards.
    pub(crate) fn after_load(&self, wall_ms: u64, own: Move, settings: &OrderSettings) -> Arc<str> {
        let moves = self.bucket.iter().flat_map(|bucket| &bucket.moves);
        let is_kept = |entry: &&Move| entry.until_ms > wall_ms && entry.target != own.target;
        let mut moves: Vec<Move> = moves.filter(is_kept).cloned().collect();
        if !own.shards.is_empty() {
            moves.push(own);
        }
        let last_ms = self.bucket.as_ref().map_or(0, |bucket| bucket.at_ms);
        to_json(&Bucket {
            // The time never goes back: an instance whose clock is behind would otherwise let the
            // difference count twice.
            at_ms: wall_ms.max(last_ms),
            count: self.count(wall_ms, settings) - 1.0,
            moves,
        })
    }

    /// Tokens at `wall_ms`; a full bucket without a valid row.
    fn count(&self, wall_ms: u64, settings: &OrderSettings) -> f64 {
        let Some(bucket) = &self.bucket else {
            return settings.token_max_count;
        };
        let minutes = wall_ms.saturating_sub(bucket.at_ms) as f64 / 60_000.0;
        let count = bucket.count + minutes * settings.loads_per_minute;
        count.min(settings.token_max_count)
    }
}

/// Longest time by which the clock of the writing instance may be ahead of the reading one's.
const MAX_AHEAD_MS: u64 = 60_000;

/// Longest time for which a move may be recorded.
const MAX_MOVE_MS: u64 = 3_600_000;

/// Key of the row that keeps loads to the rate limit of the weight store.
pub(crate) const TOKEN_ROW_KEY: &str = "order-tokens";
