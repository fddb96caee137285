//! Suggestions for mistyped names, by edit distance.

/// Largest edit distance at which a name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the candidate closest to `word`, if one is close enough.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|c| (edit_distance(word, c), c))
        .filter(|(d, c)| *d <= MAX_EDIT_DISTANCE && *d < c.chars().count())
        .min()
        .map(|(_, c)| c)
}

/// Returns `; did you mean X?` if a candidate is close enough, else an empty string.
pub fn hint<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    nearest(word, candidates).map_or(String::new(), |c| format!("; did you mean {c}?"))
}

/// Returns the Levenshtein distance, computed with one row of the matrix in memory.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replace = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
