//! Messages between controllers: rkyv archives, checked before use.
//!
//! Versions run side by side and the messages don't extend: order and types of their fields
//! stay as they are, and what is new goes into messages of its own.

pub mod coverage;
pub mod heartbeat;
pub mod relay;
pub mod shards;

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// The longest name of a controller, machine or zone.
const MAX_NAME: usize = 200;

/// The bytes of a message; `None` where it can't be encoded.
fn encode_archive<M>(message: &M) -> Option<Vec<u8>>
where
    M: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    rkyv::to_bytes::<Error>(message).ok().map(|bytes| bytes.to_vec())
}

/// Checks the bytes and reads the message. They are copied, since an archive must lie aligned
/// in memory.
fn decode_archive<M>(bytes: &[u8]) -> Result<M, Error>
where
    M: Archive,
    M::Archived: for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<M, HighDeserializer<Error>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes(&aligned)
}
