//! The fencing tokens that a node may use for a machine.
//!
//! A term begins with a base token: the revision at which the leader's key was written or, with sharding,
//! the epoch of the machine's shard. The base was in force at every revision at which the key and the
//! shard's record were still the same, and a successor's base is a later revision. So the node may use any
//! such revision as a token, and a higher one makes the worker refuse what was sent under lower ones.

/// A leader's term, and a later revision of the state service at which its key was still held in this
/// term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObservedTerm {
    /// The leader's fencing token, or 0 if no term is known.
    pub token: u64,
    /// The highest revision at which the term is known to have been in force.
    pub in_force_at: u64,
}

/// Evidence of the latest two terms. Holders go on under the earlier one until their shards' records are
/// renewed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TermEvidence {
    latest: ObservedTerm,
    previous: ObservedTerm,
}

impl TermEvidence {
    /// Returns the latest known term.
    pub fn latest(&self) -> ObservedTerm {
        self.latest
    }

    /// Records that the term with this token was in force at a revision. Ignores terms before the latest
    /// known one.
    pub fn record(&mut self, token: u64, revision: u64) {
        if token > self.latest.token {
            self.previous = self.latest;
            self.latest = ObservedTerm { token, in_force_at: token };
        }
        if token == self.latest.token {
            self.latest.in_force_at = self.latest.in_force_at.max(revision);
        }
    }

    /// Returns the highest revision at which the term with this token is known to have been in force.
    pub fn in_force_at(&self, token: u64) -> u64 {
        let terms = [self.latest, self.previous];
        terms.iter().find(|term| term.token == token).map_or(token, |term| term.in_force_at)
    }

    /// Returns the token of the latest term for a token that the term covers, and any other token
    /// unchanged.
    pub fn base_of(&self, token: u64) -> u64 {
        TokenRange::new(self.latest.token, self.latest.in_force_at).base_of(token)
    }
}

/// The tokens under which one node, and no other, may command a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRange {
    /// The leader's fencing token, or the epoch of the machine's shard.
    pub base: u64,
    /// The highest revision at which the base is known to have been in force.
    pub newest: u64,
}

impl TokenRange {
    /// Creates the range of a base that was in force at the revision `newest`.
    pub fn new(base: u64, newest: u64) -> Self {
        Self { base, newest: newest.max(base) }
    }

    /// Creates the range of a base of which nothing later is known.
    pub fn only(base: u64) -> Self {
        Self::new(base, base)
    }

    /// Returns the base for a token in the range, and any other token unchanged.
    pub fn base_of(&self, token: u64) -> u64 {
        if self.contains(token) {
            self.base
        } else {
            token
        }
    }

    /// Returns whether the token belongs to this range.
    pub fn contains(&self, token: u64) -> bool {
        (self.base..=self.newest).contains(&token)
    }
}

/// The tokens for the answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerTokens {
    /// The tokens that this node may use for the machine.
    pub range: TokenRange,
    /// The highest token that the worker has seen, according to the heartbeat as it arrived.
    pub seen_by_worker: u64,
}
