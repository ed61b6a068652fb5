//! Shifts the ranges of engines so that layers without a holder get one.

use super::*;

/// Share of the largest common reserve that engines keep when their ranges shift. With the whole reserve,
/// almost every engine would have to load other layers.
const RESERVE_SHARE: f64 = 0.5;

/// Layers to load are far more expensive than layers to give up, so one loaded layer outweighs any number
/// of the latter.
const LOADED_LAYER_COST: u64 = 1 << 32;

/// Number of layers that no engine holds once `placements` are carried out.
#[must_use]
pub fn missing_layers(engines: &[Engine], placements: &[Placement], shape: &ModelShape) -> u32 {
    let mut is_held = vec![false; shape.layer_count as usize];
    let planned = ranges_by_engine(placements);
    for engine in engines {
        let range = planned.get(&engine.id).copied().or(engine.held);
        let Some(range) = range.and_then(|range| clip(range, shape)) else {
            continue;
        };
        is_held[range.start as usize..range.end as usize].fill(true);
    }
    is_held.iter().filter(|is_held| !**is_held).count() as u32
}

/// Returns the placements after which each layer has a holder, although some have none after
/// `placements`; none if the engines lack the memory. Any engine but those in `unresponsive` may get
/// another range.
///
/// The engines stay in the order of their ranges, so that a missing layer is mostly taken by the neighbours
/// of the engine that held it. Of all ways to cover the model in this order, the one that loads the fewest
/// layers is taken, and of these the one that gives up the fewest.
#[must_use]
pub fn shift_ranges(
    engines: &[Engine],
    placements: &[Placement],
    shape: &ModelShape,
    settings: &LayoutSettings,
    unresponsive: &BTreeSet<EngineId>,
) -> Option<Vec<Placement>> {
    let mut group = Group {
        engines: engines.iter().collect(),
        reserved_tokens: settings.min_reserved_tokens,
    };
    group.reserve_memory(shape, settings);
    let shared = (group.reserved_tokens * RESERVE_SHARE).max(settings.min_reserved_tokens);
    // Ranges of empty engines cost the same wherever they are; those of other engines are moves, without
    // which the model may be completed with fewer loads.
    let mut all = ranges_by_engine(placements);
    all.retain(|engine, _| !unresponsive.contains(*engine));
    let mut fills = all.clone();
    for engine in engines {
        if engine.held.is_some() {
            fills.remove(&engine.id);
        }
    }
    let reserves = [
        shared,
        settings.min_reserved_tokens,
        settings.required_tokens,
    ];
    for reserved_tokens in reserves {
        let max_layers = |engine: &Engine| match unresponsive.contains(&engine.id) {
            false => engine.max_layers(shape, reserved_tokens),
            true => 0,
        };
        let from_fills = cover(&stages(engines, &fills, max_layers, shape), shape);
        let from_all = cover(&stages(engines, &all, max_layers, shape), shape);
        let cheapest = [from_fills, from_all].into_iter().flatten();
        if let Some((_, placements)) = cheapest.min_by_key(|(cost, _)| *cost) {
            return Some(placements);
        }
    }
    None
}

/// Engines that hold layers or get some by `planned`, in the order of these layers.
fn stages<'a>(
    engines: &'a [Engine],
    planned: &BTreeMap<&EngineId, LayerRange>,
    max_layers: impl Fn(&Engine) -> u32,
    shape: &ModelShape,
) -> Vec<Stage<'a>> {
    let mut stages = Vec::new();
    for engine in engines {
        let range = planned.get(&engine.id).copied();
        stages.extend(Stage::new(engine, range, max_layers(engine), shape));
    }
    stages.sort_by(|one, other| {
        let start = one.planned.start.cmp(&other.planned.start);
        let end = start.then_with(|| one.planned.end.cmp(&other.planned.end));
        end.then_with(|| one.engine.id.cmp(&other.engine.id))
    });
    stages
}

/// An engine in the order of the layers.
struct Stage<'a> {
    engine: &'a Engine,
    /// Layers that it holds, within the model.
    held: Option<LayerRange>,
    /// Number of layers that it may be ordered to hold; 0 if it takes no orders.
    max_layers: u32,
    /// Layers that it holds once the placements are carried out that leave layers without a holder.
    planned: LayerRange,
}

impl<'a> Stage<'a> {
    /// Returns none for an engine that neither holds nor gets any layers.
    fn new(
        engine: &'a Engine,
        planned: Option<LayerRange>,
        max_layers: u32,
        shape: &ModelShape,
    ) -> Option<Self> {
        let held = engine.held.and_then(|range| clip(range, shape));
        let planned = planned.and_then(|range| clip(range, shape));
        Some(Self {
            engine,
            held,
            max_layers,
            planned: planned.or(held)?,
        })
    }

    /// Cost of changing the range that is held to `range`.
    fn cost(&self, range: LayerRange) -> u64 {
        let held_count = self.held.map_or(0, LayerRange::count);
        let kept = self.held.map_or(0, |held| {
            let (start, end) = (held.start.max(range.start), held.end.min(range.end));
            end.saturating_sub(start)
        });
        u64::from(range.count() - kept) * LOADED_LAYER_COST + u64::from(held_count - kept)
    }

    /// Range that ends at `end` and covers all layers from `covered` on; none if it would be too long. It
    /// keeps as many of the layers that are held as possible.
    fn range_to(&self, covered: u32, end: u32) -> Option<LayerRange> {
        let lowest = end.saturating_sub(self.max_layers);
        if lowest > covered {
            return None;
        }
        let reaches = |held: &LayerRange| (held.start..=held.end).contains(&covered);
        let start = match self.held.filter(reaches) {
            Some(held) => held.start.max(lowest),
            None => covered,
        };
        LayerRange::new(start, end)
    }
}

/// Cheapest way to cover the first layers with the first stages.
#[derive(Clone, Copy)]
struct Step {
    cost: u64,
    /// Number of layers that the stages before cover.
    covered_before: u32,
    /// Range of the last of the stages.
    range: LayerRange,
}

/// Returns the cost and the changes of the cheapest ranges that cover the model; none if the stages cannot
/// cover it in this order.
fn cover(stages: &[Stage], shape: &ModelShape) -> Option<(u64, Vec<Placement>)> {
    let layer_count = shape.layer_count;
    let mut costs: Vec<Option<u64>> = vec![None; layer_count as usize + 1];
    *costs.first_mut()? = Some(0);
    let mut rows: Vec<Vec<Option<Step>>> = Vec::new();
    for stage in stages {
        let mut row: Vec<Option<Step>> = vec![None; costs.len()];
        for covered in 0..=layer_count {
            let Some(cost) = costs[covered as usize] else {
                continue;
            };
            let mut add = |range: LayerRange| {
                let reached = match range.start <= covered {
                    true => range.end.max(covered),
                    false => covered,
                };
                let step = Step {
                    cost: cost + stage.cost(range),
                    covered_before: covered,
                    range,
                };
                let known = &mut row[reached as usize];
                if known.is_none_or(|known| step.cost < known.cost) {
                    *known = Some(step);
                }
            };
            add(stage.planned);
            if let Some(held) = stage.held {
                add(held);
            }
            for end in covered + 1..=layer_count.min(covered + stage.max_layers) {
                if let Some(range) = stage.range_to(covered, end) {
                    add(range);
                }
            }
        }
        costs = row.iter().map(|step| step.map(|step| step.cost)).collect();
        rows.push(row);
    }
    let total = costs[layer_count as usize]?;
    Some((total, changes(stages, &rows)?))
}

/// Placements of the cheapest ranges that cover the whole model, from the last stage back to the first.
fn changes(stages: &[Stage], rows: &[Vec<Option<Step>>]) -> Option<Vec<Placement>> {
    let mut placements = Vec::new();
    let mut covered = rows.last()?.len() - 1;
    for (stage, row) in stages.iter().zip(rows).rev() {
        let step = row[covered]?;
        if stage.held != Some(step.range) {
            placements.push(Placement {
                engine: stage.engine.id.clone(),
                range: step.range,
            });
        }
        covered = step.covered_before as usize;
    }
    placements.reverse();
    Some(placements)
}

fn ranges_by_engine(placements: &[Placement]) -> BTreeMap<&EngineId, LayerRange> {
    let ranges = placements.iter();
    ranges.map(|one| (&one.engine, one.range)).collect()
}

/// Part of a range that is within the model.
fn clip(range: LayerRange, shape: &ModelShape) -> Option<LayerRange> {
    LayerRange::new(range.start, range.end.min(shape.layer_count))
}
