use super::*;

/// Layers that an engine should hold instead of what it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Engine.
    pub engine: EngineId,
    /// Layers.
    pub range: LayerRange,
}

/// Changes that complete the layout, fewest loads first. Engines keep what they hold unless a layer
/// of their group is held by none.
#[must_use]
pub fn plan(engines: &[Engine], shape: &ModelShape, settings: &LayoutSettings) -> Vec<Placement> {
    let mut placements = Vec::new();
    for group in groups(engines, shape, settings) {
        plan_group(&group, shape, &mut placements);
    }
    placements
}

fn plan_group(group: &Group, shape: &ModelShape, placements: &mut Vec<Placement>) {
    let mut coverage = vec![0_u32; shape.layer_count as usize];
    let mut empty = Vec::new();
    for engine in &group.engines {
        match engine.held {
            None => empty.push(*engine),
            Some(range) => change(&mut coverage, range, 1),
        }
    }
    // The fastest engines come first and hold the first layers; ids make the order the same on
    // every instance.
    empty.sort_by(|one, other| {
        let pace = one.pace.total_cmp(&other.pace);
        pace.then_with(|| one.id.cmp(&other.id))
    });
    for engine in empty {
        let count = engine.capacity(shape, group.kept_tokens);
        let Some(range) = least_covered(&coverage, count) else {
            continue;
        };
        change(&mut coverage, range, 1);
        placements.push(Placement {
            engine: engine.id.clone(),
            range,
        });
    }
    fill_holes(group, shape, &mut coverage, placements);
}

/// Moves engines whose layers are held elsewhere too onto layers that none holds.
fn fill_holes(
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
    movable.sort_by(|one, other| one.0.id.cmp(&other.0.id));
    while let Some(hole) = coverage.iter().position(|count| *count == 0) {
        let spare = movable.iter().position(|(_, range)| {
            let layers = &coverage[range.start as usize..range.end as usize];
            layers.iter().all(|count| *count > 1)
        });
        let Some(position) = spare else {
            return;
        };
        let (engine, old) = movable.swap_remove(position);
        let count = engine.capacity(shape, group.kept_tokens);
        let hole = hole as u32;
        let Some(range) = LayerRange::new(hole, (hole + count).min(shape.layer_count)) else {
            continue;
        };
        change(coverage, old, -1);
        change(coverage, range, 1);
        placements.push(Placement {
            engine: engine.id.clone(),
            range,
        });
    }
}

fn change(coverage: &mut [u32], range: LayerRange, difference: i32) {
    let end = (range.end as usize).min(coverage.len());
    for count in &mut coverage[(range.start as usize).min(end)..end] {
        *count = count.saturating_add_signed(difference);
    }
}

/// Range of at most `count` layers, from the first layer that the fewest engines hold. It ends
/// where the layers after it are held more often, so that no memory is taken from requests.
fn least_covered(coverage: &[u32], count: u32) -> Option<LayerRange> {
    let least = *coverage.iter().min()?;
    let start = coverage.iter().position(|held| *held == least)?;
    let end = (start + count as usize).min(coverage.len());
    let run = coverage[start..end]
        .iter()
        .take_while(|held| **held == least);
    let run_count = run.count();
    LayerRange::new(start as u32, (start + run_count) as u32)
}
