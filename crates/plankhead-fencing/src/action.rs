//! Actions that the leader may ask of the cloud, and their digests.

use std::fmt;
use std::sync::Arc;

/// The most machines that one rental may ask for, by the cloud's protocol.
pub const MAX_RENTAL_COUNT: u32 = 50;
/// The most machines that one return may name, by the cloud's protocol.
pub const MAX_RETURN_MACHINES: usize = 100;
/// The key derivation context: digests of another format never compare equal.
const DIGEST_CONTEXT: &str = "plankhead 2026-12 duty action v1";
const DIGEST_BYTES: usize = 16;

/// A rental request. The cloud carries out each name once at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// The request's name, which is its idempotency key in the cloud.
    pub name: String,
    /// The machine type, as the cloud names it.
    pub machine_type: String,
    /// The zone to rent in.
    pub zone: String,
    /// Whether the machines are spot returned.
    pub spot: bool,
    /// How many machines, from 1 to [`MAX_RENTAL_COUNT`].
    pub count: u32,
}

/// Why machines are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnReason {
    /// They are not needed any more.
    Surplus,
    /// They are silent or broken, or hold a task that must be gone by a deadline.
    Reclaim,
}

/// Machines that go returned to the cloud, with everything on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReturn {
    /// The machines' names, at most [`MAX_RETURN_MACHINES`].
    pub machines: Vec<Arc<str>>,
    /// Why they are returned.
    pub reason: ReturnReason,
}

/// An irreversible effect on the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudAction {
    /// Rent machines.
    Rent(Rental),
    /// Return machines.
    Return(InstanceReturn),
}

/// A BLAKE3 digest of an action: a repeat under the same key must have the same one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ActionDigest([u8; DIGEST_BYTES]);

impl CloudAction {
    /// The kind of action in a word, as it is stored and displayed.
    pub fn kind(&self) -> &'static str {
        match self {
            CloudAction::Rent(_) => "rent",
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Surplus, .. }) => "return",
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Reclaim, .. }) => "reclaim",
        }
    }

    /// A short description of the action's subject, for display.
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

    /// The digest over every field, which is stored with the action.
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

/// Hashes a text with its length, so that adjacent fields can't be confused.
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
