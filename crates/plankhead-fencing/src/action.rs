//! What the lease holder may ask of the cloud.

use std::fmt;
use std::sync::Arc;

/// The most machines that one rental may ask for, by the cloud's protocol.
pub const MAX_RENTAL_COUNT: u32 = 50;
/// The most machines that one return may name, by the cloud's protocol.
pub const MAX_RETURN_HOSTS: usize = 100;
/// Domain of the digests: those of another format never compare equal.
const DIGEST_CONTEXT: &str = "plankhead 2026-12 duty action v1";
const DIGEST_BYTES: usize = 16;

/// A rental request. The cloud carries out each name once at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// Why machines are given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnReason {
    /// They are not needed any more.
    Surplus,
    /// They are silent, broken, or hold a task that must be gone in time.
    Reclaim,
}

/// Machines that go back to the cloud, with everything on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Return {
    pub hosts: Vec<Arc<str>>,
    pub cause: ReturnReason,
}

/// An effect on the cloud that cannot be taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Rent(Rental),
    Return(Return),
}

/// A digest of an action: a repeat under the same key must have the same one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ActionDigest([u8; DIGEST_BYTES]);

impl Action {
    /// The kind of action in a word, as it is stored and shown.
    pub fn kind(&self) -> &'static str {
        match self {
            Action::Rent(_) => "rent",
            Action::Return(Return { cause: ReturnReason::Surplus, .. }) => "return",
            Action::Return(Return { cause: ReturnReason::Reclaim, .. }) => "reclaim",
        }
    }

    /// What the action is about, for people.
    pub fn subject(&self) -> String {
        match self {
            Action::Rent(rental) => {
                let kind = if rental.spot { "spot" } else { "ordinary" };
                format!("{} {kind} {} in {}", rental.count, rental.machine_type, rental.zone)
            }
            Action::Return(back) => {
                let named: Vec<&str> = back.hosts.iter().take(3).map(AsRef::as_ref).collect();
                match back.hosts.len().saturating_sub(named.len()) {
                    0 => named.join(", "),
                    more => format!("{} and {more} more", named.join(", ")),
                }
            }
        }
    }

    pub fn digest(&self) -> ActionDigest {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        match self {
            Action::Rent(rental) => {
                absorb(&mut hasher, "rent");
                for text in [&rental.name, &rental.machine_type, &rental.zone] {
                    absorb(&mut hasher, text);
                }
                hasher.update(&[u8::from(rental.spot)]);
                hasher.update(&rental.count.to_le_bytes());
            }
            Action::Return(back) => {
                absorb(&mut hasher, self.kind());
                hasher.update(&(back.hosts.len() as u64).to_le_bytes());
                for host in &back.hosts {
                    absorb(&mut hasher, host);
                }
            }
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        ActionDigest(digest)
    }
}

/// Takes in a text with its length, so that fields can't run into each other.
fn absorb(hasher: &mut blake3::Hasher, text: &str) {
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
