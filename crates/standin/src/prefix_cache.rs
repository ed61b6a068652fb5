use super::*;

/// Prefix cache of limited size, with events that come late and with gaps.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    block_count: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    gap_fraction: f64,
    next_position: u64,
    next_use: u64,
    random: ChaCha8Rng,
    /// Hash to the number of its last use.
    last_uses: BTreeMap<u64, u64>,
}

/// Events kept for readers.
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

    /// Puts the prefixes of a prompt into the cache and returns how many of its tokens were there.
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

    /// Events after a position that are at least `lag` old.
    pub(crate) fn events(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for (at, event) in &self.events {
            if event.position > after && now.duration_since(*at) >= lag {
                events.push(event.clone());
            }
        }
        events
    }

    /// Position of the newest event, published or not.
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
