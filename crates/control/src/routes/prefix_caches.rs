use super::*;

/// Factor by which confidence in a cached prefix drops for each gap in the engine's cache events
/// since the prefix was last seen: the missing events may include its eviction.
const GAP_DISCOUNT: f64 = 0.5;

/// Estimated content of the engines' prefix caches. It is derived from cache events, which arrive
/// late and may be lost, and from the prompts that this instance dispatched.
#[derive(Clone, Debug, Default)]
pub struct PrefixCaches {
    engines: BTreeMap<TargetId, EngineCache>,
}

#[derive(Clone, Debug, Default)]
struct EngineCache {
    entries: BTreeMap<u64, CachedPrefix>,
    gap_count: u32,
    position: u64,
}

#[derive(Clone, Debug)]
struct CachedPrefix {
    gap_count: u32,
    seen_at: Duration,
}

impl PrefixCaches {
    /// Records that a prompt with these prefixes was sent to an engine. At most `max_count`
    /// prefixes are kept per engine.
    pub fn dispatched(&mut self, now: Duration, target: &TargetId, hashes: &[u64], max_count: u32) {
        if hashes.is_empty() {
            return;
        }
        let engine = self.engines.entry(target.clone()).or_default();
        for hash in hashes {
            engine.record_prefix(now, *hash, max_count);
        }
    }

    /// Applies cache events of an engine. Events at positions that were already seen are dropped;
    /// `forget` makes the positions start over after a restart. At most `max_count` prefixes are
    /// kept per engine.
    pub fn events_received(
        &mut self,
        now: Duration,
        target: &TargetId,
        events: &[CacheEvent],
        max_count: u32,
    ) {
        let engine = self.engines.entry(target.clone()).or_default();
        for event in events {
            if event.position <= engine.position {
                continue;
            }
            if event.position > engine.position + 1 && engine.position > 0 {
                engine.gap_count += 1;
            }
            engine.position = event.position;
            if event.present {
                engine.record_prefix(now, event.prefix_hash, max_count);
            } else {
                engine.entries.remove(&event.prefix_hash);
            }
        }
    }

    /// Drops all state of an engine, for example after its restart.
    pub fn forget(&mut self, target: &TargetId) {
        self.engines.remove(target);
    }

    /// Position of the last cache event received from an engine; 0 if there was none.
    #[must_use]
    pub fn position(&self, target: &TargetId) -> u64 {
        self.engines.get(target).map_or(0, |engine| engine.position)
    }

    /// Fraction of a prompt, from 0 to 1, that the engine probably has in its cache. `hashes` are
    /// those of the prompt's prefixes, shortest first. Confidence in a prefix halves every
    /// `half_life` since it was last seen, and drops by `GAP_DISCOUNT` for every gap in the events.
    #[must_use]
    pub fn cached_fraction(
        &self,
        now: Duration,
        target: &TargetId,
        hashes: &[u64],
        half_life: Duration,
    ) -> f64 {
        let Some(engine) = self.engines.get(target) else {
            return 0.0;
        };
        let mut best: f64 = 0.0;
        for (index, hash) in hashes.iter().enumerate() {
            let Some(entry) = engine.entries.get(hash) else {
                continue;
            };
            let age = now.saturating_sub(entry.seen_at).as_secs_f64();
            let gaps = engine.gap_count.saturating_sub(entry.gap_count).min(16);
            let confidence = 0.5_f64.powf(age / half_life.as_secs_f64().max(0.001))
                * GAP_DISCOUNT.powi(gaps as i32);
            best = best.max(confidence * (index + 1) as f64 / hashes.len() as f64);
        }
        best
    }
}

impl EngineCache {
    fn record_prefix(&mut self, now: Duration, hash: u64, max_count: u32) {
        let entry = CachedPrefix {
            gap_count: self.gap_count,
            seen_at: now,
        };
        self.entries.insert(hash, entry);
        if self.entries.len() <= max_count.max(1) as usize {
            return;
        }
        let mut ages: Vec<Duration> = self.entries.values().map(|entry| entry.seen_at).collect();
        ages.sort_unstable();
        let median = ages[ages.len() / 2];
        self.entries.retain(|_, entry| entry.seen_at > median);
    }
}
