/// The known name that is most like `name`, if one is near enough to be meant.
pub(crate) fn closest_match<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    // Beyond a third of its length a name is more likely to be another word than a slip.
    let limit = name.chars().count().div_ceil(3);
    known
        .map(|known| (distance(name, known), known))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, known)| known)
}

/// Number of characters to insert, remove or replace to turn `left` into `right` (Levenshtein).
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
