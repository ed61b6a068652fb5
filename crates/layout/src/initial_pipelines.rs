//! The initial layout: pipelines of engines, each of which holds the whole model.

use super::*;

/// Minimum share of `LayoutSettings::reserved_tokens` with which engines of several failure domains still
/// form pipelines.
const MIN_RESERVE_SHARE: f64 = 0.5;

/// Returns the placements of engines that hold nothing yet, and the engines that are left over.
///
/// The fastest engines of each failure domain form as many pipelines as are possible with
/// `reserved_tokens`. The remaining engines of all domains form pipelines together, if they have enough
/// memory and the links between the domains can carry the tokens. Otherwise each domain would hold some
/// layers more often than others, which serves no additional requests.
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
    // More pipelines than `reserved_tokens` allows would leave each of them too little memory for
    // requests.
    let desired = f64::from(total_capacity(&unused, shape, settings.reserved_tokens));
    let count = count.min((desired / f64::from(shape.layer_count)).round() as u32);
    let links_suffice = shape.link_tokens_per_s >= settings.pipeline_tokens_per_s;
    let used = match count > 0 && links_suffice {
        false => 0,
        true => unused.len(),
    };
    form_pipelines(&unused[..used], count, shape, settings, &mut placements);
    unused.drain(..used);
    (placements, unused)
}

/// Sorts engines by pace, fastest first. Ties are broken by id so that every instance gets the same
/// order.
fn sort_by_pace(engines: &mut [&Engine]) {
    engines.sort_by(|one, other| {
        let pace = one.pace.total_cmp(&other.pace);
        pace.then_with(|| one.id.cmp(&other.id))
    });
}

/// Number of layers that engines can hold if each reserves memory for `tokens` tokens.
fn total_capacity(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    let counts = engines
        .iter()
        .map(|engine| engine.max_layers(shape, tokens));
    counts.sum()
}

/// Number of pipelines that engines can form if each engine reserves memory for `tokens` tokens.
fn pipeline_count(engines: &[&Engine], shape: &ModelShape, tokens: f64) -> u32 {
    total_capacity(engines, shape, tokens) / shape.layer_count.max(1)
}

/// Number of engines, from the first one, that are enough for `count` pipelines.
fn engines_needed(engines: &[&Engine], shape: &ModelShape, tokens: f64, count: u32) -> usize {
    let mut sum = 0;
    for (index, engine) in engines.iter().enumerate() {
        if sum >= count * shape.layer_count {
            return index;
        }
        sum += engine.max_layers(shape, tokens);
    }
    engines.len()
}

/// Forms `count` pipelines of consecutive engines. All engines of a pipeline reserve memory for about the
/// same number of tokens, so that none is full before the others.
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

/// Maximum number of tokens for which each engine of a pipeline can reserve memory; none if the pipeline
/// cannot hold the model even with the minimum reserve.
fn max_reserved_tokens(
    pipeline: &[&Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> Option<f64> {
    let is_sufficient = |tokens: f64| total_capacity(pipeline, shape, tokens) >= shape.layer_count;
    let mut low = settings.min_reserved_tokens;
    if !is_sufficient(low) {
        return None;
    }
    let memory_mb: f64 = pipeline.iter().map(|engine| engine.memory_mb).sum();
    let mut high = memory_mb / shape.kv_mb_per_token_layer.max(f64::MIN_POSITIVE);
    // Thirty bisections find the amount to within a few tokens for engines of any size.
    for _ in 0..30 {
        let middle = f64::midpoint(low, high);
        if is_sufficient(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(low)
}

/// Splits engines into `count` slices with about the same memory.
fn split_by_memory<'a, 'b>(engines: &'b [&'a Engine], count: u32) -> Vec<&'b [&'a Engine]> {
    let memory_mb: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
    let share_mb = memory_mb / f64::from(count.max(1));
    let mut slices = Vec::new();
    let (mut start, mut sum_mb) = (0, 0.0);
    for (index, engine) in engines.iter().enumerate() {
        let boundary_mb = share_mb * (slices.len() + 1) as f64;
        let is_nearer =
            (sum_mb + engine.memory_mb - boundary_mb).abs() >= (boundary_mb - sum_mb).abs();
        if is_nearer && index > start && slices.len() + 1 < count as usize {
            slices.push(&engines[start..index]);
            start = index;
        }
        sum_mb += engine.memory_mb;
    }
    slices.push(&engines[start..]);
    slices
}

/// Assigns adjacent ranges that cover the model once to the engines of a pipeline. Layers beyond the
/// model are taken from the engine with the least memory left for requests.
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
        let reserved = |index: &usize| pipeline[*index].reserved_tokens(shape, counts[*index]);
        let tightest = (0..pipeline.len()).filter(|index| counts[*index] > 0);
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
