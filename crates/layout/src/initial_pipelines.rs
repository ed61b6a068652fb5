//! The first layout: chains of engines that hold the whole model each.

use super::*;

/// Share of the wished memory for requests with which engines of several domains still form chains.
const MIN_RESERVE_SHARE: f64 = 0.5;

/// Ranges for engines that hold nothing yet, and the engines that are left over.
///
/// The fastest engines of each domain form as many chains as leave the wished memory for requests. What
/// is left of all domains forms chains together, if it can and the pipes between domains carry their
/// tokens: without them, some layers would be held more often than others, for no use.
pub(crate) fn initial_pipelines<'a>(
    engines: &'a [Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> (Vec<Placement>, Vec<&'a Engine>) {
    let mut domains: BTreeMap<&str, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    let mut placements = Vec::new();
    let mut unused = Vec::new();
    for mut members in domains.into_values() {
        sort_by_pace(&mut members);
        let count = pipeline_count(&members, shape, settings.reserved_tokens);
        let used = engines_needed(&members, shape, settings.reserved_tokens, count);
        form_pipelines(&members[..used], count, shape, settings, &mut placements);
        unused.extend(&members[used..]);
    }
    let count = pipeline_count(&unused, shape, settings.reserved_tokens * MIN_RESERVE_SHARE);
    // More chains than the wished memory allows would leave each with little.
    let desired = f64::from(total_capacity(&unused, shape, settings.reserved_tokens));
    let count = count.min((desired / f64::from(shape.layer_count)).round() as u32);
    let can_cross = shape.link_tokens_per_s >= settings.pipeline_tokens_per_s;
    let used = match count > 0 && can_cross {
        false => 0,
        true => unused.len(),
    };
    form_pipelines(&unused[..used], count, shape, settings, &mut placements);
    unused.drain(..used);
    (placements, unused)
}

/// Fastest engines first. Ids make the order the same on every instance.
fn sort_by_pace(engines: &mut [&Engine]) {
    engines.sort_by(|one, other| {
        let pace = one.pace.total_cmp(&other.pace);
        pace.then_with(|| one.id.cmp(&other.id))
    });
}

fn total_capacity(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    let counts = engines
        .iter()
        .map(|engine| engine.max_layers(shape, tokens));
    counts.sum()
}

/// Chains that engines can form while each keeps memory for `tokens` tokens.
fn pipeline_count(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    total_capacity(engines, shape, tokens) / shape.layer_count.max(1)
}

/// Number of the first engines that are enough for `count` chains.
fn engines_needed(engines: &[&Engine], shape: &ModelShape, tokens: f64, count: u32) -> usize {
    let mut sum = 0;
    for (at, engine) in engines.iter().enumerate() {
        if sum >= count * shape.layer_count {
            return at;
        }
        sum += engine.max_layers(shape, tokens);
    }
    engines.len()
}

/// Forms chains of engines that follow each other. Within a chain all keep memory for about as many
/// tokens, so that no engine is full before the others.
fn form_pipelines(
    engines: &[&Engine],
    count: u32,
    shape: &ModelShape,
    settings: &LayoutSettings,
    placements: &mut Vec<Placement>,
) {
    if count == 0 {
        return;
    }
    for pipeline in split_by_memory(engines, count) {
        let tokens = max_reserved_tokens(pipeline, shape, settings);
        let tokens = tokens.unwrap_or(settings.min_reserved_tokens);
        place_pipeline(pipeline, shape, tokens, placements);
    }
}

/// Most tokens for which each engine of a chain can keep memory. None if the chain cannot hold the model
/// even with the least.
fn max_reserved_tokens(
    pipeline: &[&Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> Option<f64> {
    let is_enough = |tokens: f64| total_capacity(pipeline, shape, tokens) >= shape.layer_count;
    let mut low = settings.min_reserved_tokens;
    if !is_enough(low) {
        return None;
    }
    let memory_mb: f64 = pipeline.iter().map(|engine| engine.memory_mb).sum();
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
fn split_by_memory<'a, 'b>(engines: &'b [&'a Engine], count: u32) -> Vec<&'b [&'a Engine]> {
    let memory_mb: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
    let share_mb = memory_mb / f64::from(count.max(1));
    let mut slices = Vec::new();
    let (mut start, mut sum_mb) = (0, 0.0);
    for (at, engine) in engines.iter().enumerate() {
        let boundary_mb = share_mb * (slices.len() + 1) as f64;
        let is_nearer =
            (sum_mb + engine.memory_mb - boundary_mb).abs() >= (boundary_mb - sum_mb).abs();
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
fn place_pipeline(
    pipeline: &[&Engine],
    shape: &ModelShape,
    tokens: f64,
    placements: &mut Vec<Placement>,
) {
    let mut counts: Vec<u32> = pipeline
        .iter()
        .map(|engine| engine.max_layers(shape, tokens))
        .collect();
    while counts.iter().sum::<u32>() > shape.layer_count {
        let reserved = |at: &usize| pipeline[*at].reserved_tokens(shape, counts[*at]);
        let tightest = (0..pipeline.len()).filter(|at| counts[*at] > 0);
        let Some(tightest) =
            tightest.min_by(|one, other| reserved(one).total_cmp(&reserved(other)))
        else {
            return;
        };
        counts[tightest] -= 1;
    }
    let mut start = 0;
    for (engine, count) in pipeline.iter().zip(counts) {
        if let Some(range) = LayerRange::new(start, start + count) {
            placements.push(Placement {
                engine: engine.id.clone(),
                range,
            });
        }
        start += count;
    }
}
