//! Messages between controllers. They are rkyv archives, which are validated before use.
//!
//! Controllers of different versions run at the same time, and the messages are not extensible. The order and
//! types of their fields must not change, and new data needs a new message.

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

/// The longest name of a controller, machine or zone, in bytes.
const MAX_NAME: usize = 200;

/// Encodes a message. Returns `None` if it can't be encoded.
fn encode_archive<M>(message: &M) -> Option<Vec<u8>>
where
    M: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    rkyv::to_bytes::<Error>(message).ok().map(|bytes| bytes.to_vec())
}

/// Validates and decodes a message. The bytes are copied, since an archive must be aligned in memory.
fn decode_archive<M>(bytes: &[u8]) -> Result<M, Error>
where
    M: Archive,
    M::Archived: for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<M, HighDeserializer<Error>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes(&aligned)
}
