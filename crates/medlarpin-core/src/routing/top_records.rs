/// Size of one record of an answer.
pub const RECORD_BYTES: usize = 16;

/// Merges the shards' records and returns the `records_max` greatest, concatenated in descending
/// order.
///
/// Records are compared byte by byte, and duplicates are kept. An incomplete record at the end of a
/// part is ignored.
#[must_use]
pub fn top_records<'a>(parts: impl Iterator<Item = &'a [u8]>, records_max: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > records_max && records_max > 0 {
        records.select_nth_unstable_by(records_max - 1, |a, b| b.cmp(a));
    }
    records.truncate(records_max);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
