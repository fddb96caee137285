//! Finds the name a writer most likely meant.

/// Names further away than this are not suggested.
const MAX_DISTANCE: usize = 3;

/// The candidate nearest to `word`, where one is near enough.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|c| (distance(word, c), c))
        .filter(|(d, c)| *d <= MAX_DISTANCE && *d < c.chars().count())
        .min()
        .map(|(_, c)| c)
}

/// `; did you mean X?` where a near candidate exists, else nothing.
pub fn hint<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    nearest(word, candidates).map_or(String::new(), |c| format!("; did you mean {c}?"))
}

/// Edit distance with one row of memory.
fn distance(a: &str, b: &str) -> usize {
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
