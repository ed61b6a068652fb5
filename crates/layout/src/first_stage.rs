//! Another first stage for a model whose first stages limit their requests.

use super::*;

/// Requests per second that the limits of the first stages must allow, as a multiple of those that arrive.
/// The rate of arrivals is an estimate, and varies from second to second.
const LIMIT_RESERVE: f64 = 1.25;

/// Returns the placement of the first layer on an engine without a limit, if all engines that hold it limit
/// their requests to fewer than `requests_per_s`; none if this is not so, or no engine can be spared.
///
/// Only the first stage receives requests from instances, so an engine that limits them still serves as a later
/// stage of the same path. The new first stage therefore holds no more than the first layer, which loads
/// quickly and leaves the other layers where they are.
#[must_use]
pub fn additional_first_stage(engines: &[Engine], requests_per_s: f64) -> Option<Placement> {
    let mut allowed_per_s = None;
    for engine in engines {
        if engine.held.is_some_and(|held| held.contains(0)) {
            let limit = engine.request_limit_per_s.unwrap_or(f64::INFINITY);
            allowed_per_s = Some(allowed_per_s.unwrap_or(0.0) + limit);
        }
    }
    // Without any engine for the first layer, the layout itself is incomplete.
    if allowed_per_s? >= requests_per_s * LIMIT_RESERVE {
        return None;
    }
    let spared = engines
        .iter()
        .filter(|engine| engine.request_limit_per_s.is_none())
        .filter_map(|engine| Some((spare_count(engine, engines)?, engine)));
    // An empty engine, or else the one whose layers are held most often. Of several, the slowest one, which
    // runs the fewest requests.
    let (_, engine) = spared.max_by(|(one_count, one), (other_count, other)| {
        let count = one_count.cmp(other_count);
        let pace = count.then_with(|| one.pace.total_cmp(&other.pace));
        pace.then_with(|| other.id.cmp(&one.id))
    })?;
    Some(Placement {
        engine: engine.id.clone(),
        range: LayerRange::new(0, 1)?,
    })
}

/// Smallest number of other engines that hold a layer of `engine`; none if there is a layer that no other one
/// holds.
fn spare_count(engine: &Engine, engines: &[Engine]) -> Option<usize> {
    let Some(held) = engine.held else {
        return Some(usize::MAX);
    };
    let mut smallest = usize::MAX;
    for layer in held.start..held.end {
        let others = engines.iter().filter(|other| {
            other.id != engine.id && other.held.is_some_and(|held| held.contains(layer))
        });
        smallest = smallest.min(others.count());
    }
    (smallest > 0).then_some(smallest)
}
