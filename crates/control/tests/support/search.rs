//! Breadth-first search over the states of a model. Visited states are kept as hashes.

use std::{
    collections::{HashSet, VecDeque},
    fmt::Debug,
    hash::{DefaultHasher, Hash, Hasher},
};

pub trait Model: Clone {
    type Move: Clone + Debug;

    /// Moves that are possible in this state.
    fn moves(&self) -> Vec<Self::Move>;
    /// Takes a move; the error names the violated invariant.
    fn take(&mut self, step: &Self::Move) -> Result<(), String>;
    /// Text that two states share exactly if they are equal.
    fn digest(&self) -> String;
}

fn hash<M: Model>(model: &M) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.digest().hash(&mut hasher);
    hasher.finish()
}

/// Searches until `max_count` states were visited. Returns the number of states and the depth that
/// was searched completely. Panics with the shortest schedule that violates an invariant.
pub fn search<M: Model>(start: M, max_count: usize) -> (usize, usize) {
    let mut seen = HashSet::from([hash(&start)]);
    let mut queue: VecDeque<(M, Vec<M::Move>)> = VecDeque::from([(start, Vec::new())]);
    while let Some((model, path)) = queue.pop_front() {
        for step in model.moves() {
            let mut next = model.clone();
            let mut schedule = path.clone();
            schedule.push(step.clone());
            if let Err(message) = next.take(&step) {
                panic!("{message} after {schedule:#?}");
            }
            if seen.insert(hash(&next)) {
                queue.push_back((next, schedule));
            }
        }
        if seen.len() >= max_count {
            return (seen.len(), path.len());
        }
    }
    (seen.len(), usize::MAX)
}

/// Takes the moves that `choices` select. Returns an error with the schedule if one violates an
/// invariant.
pub fn follow<M: Model>(model: &mut M, choices: &[u16]) -> Result<(), String> {
    let mut schedule = Vec::new();
    for choice in choices {
        let moves = model.moves();
        if moves.is_empty() {
            return Ok(());
        }
        let step = moves[usize::from(*choice) % moves.len()].clone();
        schedule.push(step.clone());
        model
            .take(&step)
            .map_err(|message| format!("{message} after {schedule:?}"))?;
    }
    Ok(())
}
