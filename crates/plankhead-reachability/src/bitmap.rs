//! Encodes sets of machine numbers as Roaring bitmaps in the portable format.

use roaring::RoaringBitmap;
use thiserror::Error;

/// The reason why a bitmap was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BitmapError {
    /// The encoding has too many bytes, or the set has too many or too high numbers for its use.
    #[error("the bitmap is too large")]
    TooLarge,
    /// The bytes can't be decoded.
    #[error("malformed bitmap: {0}")]
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

/// Decodes a set of numbers. More than `max_bytes` bytes are rejected.
pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<RoaringBitmap, BitmapError> {
    if bytes.len() > max_bytes {
        return Err(BitmapError::TooLarge);
    }
    RoaringBitmap::deserialize_from(bytes).map_err(|error| BitmapError::Malformed(error.to_string()))
}
