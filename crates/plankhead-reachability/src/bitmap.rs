//! Sets of machine numbers as bytes: Roaring bitmaps in their portable format.

use roaring::RoaringBitmap;
use thiserror::Error;

/// Why bytes are no bitmap.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BitmapError {
    /// There are more bytes, or more or higher numbers, than the reader accepts.
    #[error("a bitmap that is too large")]
    TooLarge,
    /// The bytes don't decode.
    #[error("not a bitmap: {0}")]
    Malformed(String),
}

/// Encodes a set of numbers.
pub fn encode(numbers: &RoaringBitmap) -> Vec<u8> {
    let mut compressed = numbers.clone();
    compressed.optimize();
    let mut bytes = Vec::with_capacity(compressed.serialized_size());
    // Writing to memory can't fail.
    let _ = compressed.serialize_into(&mut bytes);
    bytes
}

/// Decodes a set of numbers from at most `max_bytes`.
pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<RoaringBitmap, BitmapError> {
    if bytes.len() > max_bytes {
        return Err(BitmapError::TooLarge);
    }
    RoaringBitmap::deserialize_from(bytes).map_err(|error| BitmapError::Malformed(error.to_string()))
}
