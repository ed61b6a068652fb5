//! The first layout: chains of engines that hold the whole model each.

use super::*;

/// Share of the wished memory for requests with which engines of several domains still form chains.
const LEAST_SHARE: f64 = 0.5;

/// Ranges for engines that hold nothing yet, and the engines that are left over.
///
/// The fastest engines of each domain form as many chains as leave the wished memory for requests. What
/// is left of all domains forms chains together, if it can and the pipes between domains carry their
/// tokens: without them, some layers would be held more often than others, for no use.
pub(crate) fn first_chains<'a>(
    engines: &'a [Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> (Vec<Placement>, Vec<&'a Engine>) {
    let mut domains: BTreeMap<&str, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    let mut placements = Vec::new();
    let mut left = Vec::new();
    for mut members in domains.into_values() {
        sort(&mut members);
        let count = chain_count(&members, shape, settings.kept_tokens);
        let used = used_count(&members, shape, settings.kept_tokens, count);
        form_chains(&members[..used], count, shape, settings, &mut placements);
        left.extend(&members[used..]);
    }
    let count = chain_count(&left, shape, settings.kept_tokens * LEAST_SHARE);
    // More chains than the wished memory allows would leave each with little.
    let wished = f64::from(layer_sum(&left, shape, settings.kept_tokens));
    let count = count.min((wished / f64::from(shape.layer_count)).round() as u32);
    let can_cross = shape.pipe_tokens_per_s >= settings.chain_tokens_per_s;
    let used = match count > 0 && can_cross {
        false => 0,
        true => left.len(),
    };
    form_chains(&left[..used], count, shape, settings, &mut placements);
    left.drain(..used);
    (placements, left)
}

/// Fastest engines first. Ids make the order the same on every instance.
fn sort(engines: &mut [&Engine]) {
    engines.sort_by(|one, other| {
        let pace = one.pace.total_cmp(&other.pace);
        pace.then_with(|| one.id.cmp(&other.id))
    });
}

fn layer_sum(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    let counts = engines.iter().map(|engine| engine.capacity(shape, tokens));
    counts.sum()
}

/// Chains that engines can form while each keeps memory for `tokens` tokens.
fn chain_count(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    layer_sum(engines, shape, tokens) / shape.layer_count.max(1)
}

/// Number of the first engines that are enough for `count` chains.
fn used_count(engines: &[&Engine], shape: &ModelShape, tokens: f64, count: u32) -> usize {
    let mut sum = 0;
    for (at, engine) in engines.iter().enumerate() {
        if sum >= count * shape.layer_count {
            return at;
        }
        sum += engine.capacity(shape, tokens);
    }
    engines.len()
}

/// Forms chains of engines that follow each other. Within a chain all keep memory for about as many
/// tokens, so that no engine is full before the others.
fn form_chains(
    engines: &[&Engine],
    count: u32,
    shape: &ModelShape,
    settings: &LayoutSettings,
    placements: &mut Vec<Placement>,
) {
    if count == 0 {
        return;
    }
    for chain in split(engines, count) {
        let tokens = most_tokens(chain, shape, settings);
        let tokens = tokens.unwrap_or(settings.least_kept_tokens);
        place_chain(chain, shape, tokens, placements);
    }
}

/// Most tokens for which each engine of a chain can keep memory. None if the chain cannot hold the model
/// even with the least.
fn most_tokens(chain: &[&Engine], shape: &ModelShape, settings: &LayoutSettings) -> Option<f64> {
    let is_enough = |tokens: f64| layer_sum(chain, shape, tokens) >= shape.layer_count;
    let mut low = settings.least_kept_tokens;
    if !is_enough(low) {
        return None;
    }
    let memory_mb: f64 = chain.iter().map(|engine| engine.memory_mb).sum();
    let mut high = memory_mb / shape.kv_mb_per_token_layer.max(f64::MIN_POSITIVE);
    // Thirty halvings find the amount to within a few tokens, however large the engines.
    for _ in 0..30 {
        let middle = f64::midpoint(low, high);
        if is_enough(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(low)
}

/// Splits engines into slices of about the same memory.
fn split<'a, 'b>(engines: &'b [&'a Engine], count: u32) -> Vec<&'b [&'a Engine]> {
    let memory_mb: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
    let share_mb = memory_mb / f64::from(count.max(1));
    let mut slices = Vec::new();
    let (mut start, mut sum_mb) = (0, 0.0);
    for (at, engine) in engines.iter().enumerate() {
        let border_mb = share_mb * (slices.len() + 1) as f64;
        let is_nearer = (sum_mb + engine.memory_mb - border_mb).abs() >= (border_mb - sum_mb).abs();
        if is_nearer && at > start && slices.len() + 1 < count as usize {
            slices.push(&engines[start..at]);
            start = at;
        }
        sum_mb += engine.memory_mb;
    }
    slices.push(&engines[start..]);
    slices
}

/// Gives the engines of one chain adjacent ranges that cover the model once.
fn place_chain(
    chain: &[&Engine],
    shape: &ModelShape,
    tokens: f64,
    placements: &mut Vec<Placement>,
) {
    let mut counts: Vec<u32> = chain
        .iter()
        .map(|engine| engine.capacity(shape, tokens))
        .collect();
    while counts.iter().sum::<u32>() > shape.layer_count {
        let kept = |at: &usize| chain[*at].kept_tokens(shape, counts[*at]);
        let fullest = (0..chain.len()).filter(|at| counts[*at] > 0);
        let Some(fullest) = fullest.min_by(|one, other| kept(one).total_cmp(&kept(other))) else {
            return;
        };
        counts[fullest] -= 1;
    }
    let mut start = 0;
    for (engine, count) in chain.iter().zip(counts) {
        if let Some(range) = LayerRange::new(start, start + count) {
            placements.push(Placement {
                engine: engine.id.clone(),
                range,
            });
        }
        start += count;
    }
}
