/// Returns the known name most similar to `name`, if it is similar enough to be a typo.
pub(crate) fn closest_match<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    // A name that differs in more than a third of its characters is more likely to be another
    // word than a typo.
    let limit = name.chars().count().div_ceil(3);
    known
        .map(|known| (distance(name, known), known))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, known)| known)
}

/// Returns the Levenshtein distance: the number of characters to insert, remove or replace to turn
/// `left` into `right`.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (row_index, left) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = row_index + 1;
        for (column, right) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left != *right);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
