//! The actions that the leader may request from the cloud, and their digests.

use std::fmt;
use std::sync::Arc;

/// The maximum number of machines in one rental, as set by the cloud's protocol.
pub const MAX_RENTAL_COUNT: u32 = 50;
/// The maximum number of machines in one return, as set by the cloud's protocol.
pub const MAX_RETURN_MACHINES: usize = 100;
/// The BLAKE3 key derivation context. A new digest format takes a new context, so that digests of
/// different formats never compare equal.
const DIGEST_CONTEXT: &str = "plankhead 2026-12 duty action v1";
const DIGEST_BYTES: usize = 16;

/// A request to rent machines. The cloud carries out at most one rental per name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// The request's name, which is its idempotency key in the cloud.
    pub name: String,
    /// The machine type, as named by the cloud.
    pub machine_type: String,
    /// The zone to rent in.
    pub zone: String,
    /// Whether to rent spot machines rather than ordinary ones.
    pub spot: bool,
    /// The number of machines, from 1 to [`MAX_RENTAL_COUNT`].
    pub count: u32,
}

/// The reason for returning machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnReason {
    /// The machines are no longer needed.
    Surplus,
    /// The machines send no heartbeats, are faulty, or run a task that must end by a deadline.
    Reclaim,
}

/// A return of machines to the cloud, which ends everything that runs on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReturn {
    /// The machines' names, at most [`MAX_RETURN_MACHINES`].
    pub machines: Vec<Arc<str>>,
    /// The reason for the return.
    pub reason: ReturnReason,
}

/// An irreversible action on the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudAction {
    /// Rents machines.
    Rent(Rental),
    /// Returns machines.
    Return(InstanceReturn),
}

/// A BLAKE3 digest of an action. A repeat under the same idempotency key must have the same digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ActionDigest([u8; DIGEST_BYTES]);

impl CloudAction {
    /// Returns the kind of action as one word, in the form that is stored and displayed.
    pub fn kind(&self) -> &'static str {
        match self {
            CloudAction::Rent(_) => "rent",
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Surplus, .. }) => "return",
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Reclaim, .. }) => "reclaim",
        }
    }

    /// Returns a short description of the machines concerned, for display.
    pub fn subject(&self) -> String {
        match self {
            CloudAction::Rent(rental) => {
                let kind = if rental.spot { "spot" } else { "ordinary" };
                format!("{} {kind} {} in {}", rental.count, rental.machine_type, rental.zone)
            }
            CloudAction::Return(returned) => {
                let names: Vec<&str> = returned.machines.iter().take(3).map(AsRef::as_ref).collect();
                match returned.machines.len().saturating_sub(names.len()) {
                    0 => names.join(", "),
                    more => format!("{} and {more} more", names.join(", ")),
                }
            }
        }
    }

    /// Returns the digest over all fields, which is stored with the action.
    pub fn digest(&self) -> ActionDigest {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        match self {
            CloudAction::Rent(rental) => {
                hash_text(&mut hasher, "rent");
                for text in [&rental.name, &rental.machine_type, &rental.zone] {
                    hash_text(&mut hasher, text);
                }
                hasher.update(&[u8::from(rental.spot)]);
                hasher.update(&rental.count.to_le_bytes());
            }
            CloudAction::Return(returned) => {
                hash_text(&mut hasher, self.kind());
                hasher.update(&(returned.machines.len() as u64).to_le_bytes());
                for machine in &returned.machines {
                    hash_text(&mut hasher, machine);
                }
            }
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        ActionDigest(digest)
    }
}

/// Hashes a text prefixed with its length, so that the boundary between two fields is unambiguous.
fn hash_text(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

impl fmt::Display for ActionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ActionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
