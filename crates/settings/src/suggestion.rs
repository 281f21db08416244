//! Suggestions for misspelt words.

/// Maximum length of a word that gets a suggestion; the cost of a comparison is the product of both
/// lengths.
const MAX_WORD_CHARS: usize = 64;

/// Returns the known word with the smallest edit distance, and that distance.
fn closest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<(&'a str, usize)> {
    let word: Vec<char> = word.chars().take(MAX_WORD_CHARS + 1).collect();
    if word.len() > MAX_WORD_CHARS {
        return None;
    }
    known
        .into_iter()
        .map(|candidate| (candidate, edit_distance(&word, candidate)))
        .min_by_key(|(_, distance)| *distance)
}

/// Returns the hint for an unknown word.
pub(crate) fn suggestion(word: &str, known: &[&str]) -> String {
    let list = || truncate(&known.join(", "), 600);
    match closest(word, known.iter().copied()) {
        Some((best, distance))
            if distance <= 2.max(word.chars().count() / 2)
                || (!word.is_empty() && best.starts_with(word)) =>
        {
            format!("did you mean `{best}`?")
        }
        Some((best, _)) => format!("the nearest known one is `{best}`; known are {}", list()),
        None => format!("known are {}", list()),
    }
}

/// Truncates a text that is quoted in an error, so that the message stays readable.
pub(crate) fn truncate(text: &str, limit_chars: usize) -> String {
    match text.char_indices().nth(limit_chars) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

/// Levenshtein distance.
fn edit_distance(word: &[char], candidate: &str) -> usize {
    let mut row: Vec<usize> = (0..=word.len()).collect();
    for (i, candidate_char) in candidate.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, word_char) in word.iter().enumerate() {
            let substituted = diagonal + usize::from(*word_char != candidate_char);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[word.len()]
}
