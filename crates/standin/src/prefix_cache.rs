use super::*;

/// LRU cache of prompt prefixes. Its events can be delayed and a share of them lost.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    block_count: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    gap_fraction: f64,
    next_position: u64,
    next_use: u64,
    random: ChaCha8Rng,
    /// Sequence number of the last use, by prefix hash.
    last_uses: BTreeMap<u64, u64>,
}

/// Maximum events that are kept for readers; older ones are dropped.
const MAX_EVENT_COUNT: usize = 4_096;

impl PrefixCache {
    pub(crate) fn new(block_count: usize, gap_fraction: f64, seed: u64) -> Self {
        Self {
            block_count,
            events: VecDeque::new(),
            gap_fraction,
            next_position: 1,
            next_use: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            last_uses: BTreeMap::new(),
        }
    }

    /// Inserts the prefixes of a prompt and returns how many of its tokens were already cached.
    pub(crate) fn insert_prompt(&mut self, now: Instant, prompt: &str) -> u32 {
        let mut cached_tokens = 0;
        let mut is_cached = true;
        for hash in types::prefix_hashes(prompt) {
            is_cached &= self.last_uses.contains_key(&hash);
            if is_cached {
                cached_tokens += PREFIX_BLOCK_TOKENS;
            }
            self.next_use += 1;
            if self.last_uses.insert(hash, self.next_use).is_none() {
                self.publish(now, hash, true);
            }
        }
        while self.last_uses.len() > self.block_count {
            let oldest = self.last_uses.iter().min_by_key(|(_, last_use)| **last_use);
            let Some((hash, _)) = oldest else {
                break;
            };
            let hash = *hash;
            self.last_uses.remove(&hash);
            self.publish(now, hash, false);
        }
        cached_tokens
    }

    /// Returns the events after position `after` that are at least `lag` old.
    pub(crate) fn events(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for (at, event) in &self.events {
            if event.position > after && now.duration_since(*at) >= lag {
                events.push(event.clone());
            }
        }
        events
    }

    /// Position of the newest event, whether it was published or lost.
    pub(crate) fn event_count(&self) -> u64 {
        self.next_position - 1
    }

    fn publish(&mut self, now: Instant, prefix_hash: u64, present: bool) {
        let event = CacheEvent {
            position: self.next_position,
            prefix_hash,
            present,
        };
        self.next_position += 1;
        let sample: f64 = self.random.random();
        if sample < self.gap_fraction {
            return;
        }
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENT_COUNT {
            self.events.pop_front();
        }
    }
}
