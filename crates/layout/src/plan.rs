use super::*;

/// Layers that an engine should load in place of those that it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Engine that should load the layers.
    pub engine: EngineId,
    /// Layers that it should hold.
    pub range: LayerRange,
}

/// Returns the placements that complete the layout: layers for empty engines, then moves of others. An
/// engine is moved only if too few engines of its group hold some layers.
#[must_use]
pub fn plan(engines: &[Engine], shape: &ModelShape, settings: &LayoutSettings) -> Vec<Placement> {
    if engines.iter().all(|engine| engine.held.is_none()) {
        return initial_plan(engines, shape, settings);
    }
    let mut placements = Vec::new();
    for group in groups(engines, shape, settings) {
        plan_group(&group, shape, &mut placements);
    }
    placements
}

/// Plans the layout of engines that all hold nothing.
fn initial_plan(
    engines: &[Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> Vec<Placement> {
    let (mut placements, unused) = initial_pipelines(engines, shape, settings);
    if placements.is_empty() {
        for group in groups(engines, shape, settings) {
            plan_group(&group, shape, &mut placements);
        }
        return placements;
    }
    // The engines that are in no pipeline get the layers that the fewest engines hold.
    let mut updated = engines.to_vec();
    for engine in &mut updated {
        let placement = placements
            .iter()
            .find(|placement| placement.engine == engine.id);
        engine.held = placement.map(|placement| placement.range);
    }
    if unused.is_empty() {
        return placements;
    }
    let changes = plan(&updated, shape, settings);
    placements.retain(|one| changes.iter().all(|change| change.engine != one.engine));
    placements.extend(changes);
    placements
}

/// Adds the placements of one group: layers for its empty engines, then moves of redundant engines.
fn plan_group(group: &Group, shape: &ModelShape, placements: &mut Vec<Placement>) {
    let mut coverage = vec![0_u32; shape.layer_count as usize];
    let mut empty = Vec::new();
    for engine in &group.engines {
        match engine.held {
            None => empty.push(*engine),
            Some(range) => adjust_coverage(&mut coverage, range, 1),
        }
    }
    // The fastest engines come first and get the first layers. Ties are broken by id so that every
    // instance gets the same order.
    empty.sort_by(|one, other| {
        let pace = one.pace.total_cmp(&other.pace);
        pace.then_with(|| one.id.cmp(&other.id))
    });
    for engine in empty {
        let count = engine.max_layers(shape, group.reserved_tokens);
        let Some(range) = least_covered_range(&coverage, count) else {
            continue;
        };
        adjust_coverage(&mut coverage, range, 1);
        placements.push(Placement {
            engine: engine.id.clone(),
            range,
        });
    }
    move_redundant_engines(group, shape, &mut coverage, placements);
}

/// Moves engines whose layers other engines hold too to layers that too few engines hold: none, or less
/// than half of the median.
fn move_redundant_engines(
    group: &Group,
    shape: &ModelShape,
    coverage: &mut [u32],
    placements: &mut Vec<Placement>,
) {
    let mut movable: Vec<(&Engine, LayerRange)> = Vec::new();
    for engine in &group.engines {
        if let Some(range) = engine.held {
            movable.push((engine, range));
        }
    }
    // The slowest engines come first: they run the fewest requests, which must end before they can load
    // other layers.
    movable.sort_by(|one, other| {
        let pace = other.0.pace.total_cmp(&one.0.pace);
        pace.then_with(|| one.0.id.cmp(&other.0.id))
    });
    while let Some((start, min_coverage)) = first_undercovered(coverage) {
        let redundant = movable.iter().position(|(_, range)| {
            let layers = &coverage[range.start as usize..range.end as usize];
            layers.iter().all(|count| *count > min_coverage + 1)
        });
        let Some(position) = redundant else {
            return;
        };
        let (engine, old_range) = movable.remove(position);
        let count = engine.max_layers(shape, group.reserved_tokens);
        let layers = coverage[start..].iter().take(count as usize);
        let length = layers.take_while(|held| **held <= min_coverage + 1).count();
        let start = start as u32;
        let Some(range) = LayerRange::new(start, start + length as u32) else {
            continue;
        };
        adjust_coverage(coverage, old_range, -1);
        adjust_coverage(coverage, range, 1);
        placements.push(Placement {
            engine: engine.id.clone(),
            range,
        });
    }
}

/// Returns the first of the layers that the fewest engines hold, and how many hold it; none if no layer
/// is held by too few.
fn first_undercovered(coverage: &[u32]) -> Option<(usize, u32)> {
    let min_coverage = *coverage.iter().min()?;
    let mut sorted = coverage.to_vec();
    sorted.sort_unstable();
    let median = sorted[sorted.len() / 2];
    if min_coverage > 0 && min_coverage * 2 >= median {
        return None;
    }
    let start = coverage.iter().position(|count| *count == min_coverage)?;
    Some((start, min_coverage))
}

/// Adds `difference` to the number of engines that hold each layer of `range`.
fn adjust_coverage(coverage: &mut [u32], range: LayerRange, difference: i32) {
    let end = (range.end as usize).min(coverage.len());
    for count in &mut coverage[(range.start as usize).min(end)..end] {
        *count = count.saturating_add_signed(difference);
    }
}

/// Returns a range of at most `count` layers that starts at the first of the layers that the fewest
/// engines hold. It ends before the next layer that more engines hold: to hold that one too would only
/// take memory from requests.
fn least_covered_range(coverage: &[u32], count: u32) -> Option<LayerRange> {
    let min_coverage = *coverage.iter().min()?;
    let start = coverage.iter().position(|held| *held == min_coverage)?;
    let end = (start + count as usize).min(coverage.len());
    let run = coverage[start..end]
        .iter()
        .take_while(|held| **held == min_coverage);
    let length = run.count();
    LayerRange::new(start as u32, (start + length) as u32)
}
