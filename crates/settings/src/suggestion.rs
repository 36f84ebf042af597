//! Suggestions for misspelt fields.

use super::FIELDS;

const MAX_DISTANCE: usize = 4;

/// The known path that is nearest to an unknown one, if any is near.
pub(crate) fn nearest_path(unknown: &str) -> Option<&'static str> {
    if let Some(moved) = path_with_same_last_part(unknown) {
        return Some(moved);
    }
    let distances = FIELDS
        .iter()
        .map(|field| (distance(unknown, field.path), field.path));
    let nearest = distances.min()?;
    (nearest.0 <= MAX_DISTANCE).then_some(nearest.1)
}

fn path_with_same_last_part(unknown: &str) -> Option<&'static str> {
    let last = |path: &str| path.rsplit('.').next().map(str::to_owned);
    let mut matches = FIELDS
        .iter()
        .filter(|field| last(field.path) == last(unknown));
    let first = matches.next()?;
    matches.next().is_none().then_some(first.path)
}

/// Levenshtein distance.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, right_char) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_char != *right_char);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[right.len()]
}
