use displaydoc::Display;
use thiserror::Error;

/// Unit in which Cap'n Proto counts.
const WORD_BYTES: usize = 8;
/// Size of a number in a segment table.
const NUMBER_BYTES: usize = 4;
/// Number of segments from which Cap'n Proto takes a message for malformed.
const SEGMENTS_MAX: u32 = 512;

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum FramingError {
    /// the message states {0} segments
    SegmentCount(u32),
}

/// The segment table at the start of a message, as far as it has arrived.
///
/// It has the number of segments less one and the length of each segment in words, all of them as little-endian
/// 32-bit numbers, padded to whole words (Cap'n Proto, "Serialization Over a Stream").
#[derive(Debug, Clone, Default)]
pub struct Framing {
    /// At most [`Self::table_bytes`].
    table: Vec<u8>,
}

impl Framing {
    /// Returns the bytes of the table so far.
    #[must_use]
    pub fn table(&self) -> &[u8] {
        &self.table
    }

    /// Returns the number of bytes that the table lacks, as far as is known; 0 if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the table states no possible number of segments.
    pub fn missing_bytes(&self) -> Result<usize, FramingError> {
        Ok(self.table_bytes()? - self.table.len())
    }

    /// Adds bytes of the table, at most [`Self::missing_bytes`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.table.extend_from_slice(bytes);
    }

    /// Returns the length of the segments in bytes that a complete table states.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        let count = self.segment_count().unwrap_or_default();
        let lengths = self.table.chunks_exact(NUMBER_BYTES).skip(1);
        let words = lengths
            .take(usize::try_from(count).unwrap_or(usize::MAX))
            .map(|length| usize::try_from(number(length)).unwrap_or(usize::MAX));
        words
            .fold(0, usize::saturating_add)
            .saturating_mul(WORD_BYTES)
    }

    fn table_bytes(&self) -> Result<usize, FramingError> {
        let Some(count) = self.segment_count() else {
            return Ok(WORD_BYTES);
        };
        if count == 0 || count >= SEGMENTS_MAX {
            return Err(FramingError::SegmentCount(count));
        }
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        Ok(((count + 1) * NUMBER_BYTES).next_multiple_of(WORD_BYTES))
    }

    fn segment_count(&self) -> Option<u32> {
        let first = self.table.get(..NUMBER_BYTES)?;
        Some(number(first).wrapping_add(1))
    }
}

/// Returns a little-endian number.
fn number(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u32::from(*byte))
}
