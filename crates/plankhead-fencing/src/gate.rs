//! The fencing gate: the only place that turns an action into one that the adapters accept.
//!
//! [`PermittedAction`] and [`IssueProof`] have no public constructors: only
//! [`IntentLog`](crate::intent_log::IntentLog) makes proofs, for intents that are durable.

use crate::action::{ActionDigest, CloudAction};
use crate::intent::IdempotencyKey;
use thiserror::Error;

/// Why an action may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// Its intent is durable.
    Recorded {
        /// The revision of the state service that holds it.
        revision: u64,
    },
    /// A forced return whose record the state service failed to take.
    Compelled,
    /// Fencing is switched off.
    Unfenced,
}

/// Proves that an intent may be issued; made by the intent log only.
#[derive(Debug, PartialEq, Eq)]
pub struct IssueProof {
    pub(crate) token: u64,
    pub(crate) key: IdempotencyKey,
    pub(crate) digest: ActionDigest,
    pub(crate) basis: Basis,
}

/// An action that has passed the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermittedAction {
    action: CloudAction,
    basis: Basis,
}

impl PermittedAction {
    /// The action.
    pub fn action(&self) -> &CloudAction {
        &self.action
    }

    /// Why it was let through.
    pub fn basis(&self) -> Basis {
        self.basis
    }
}

/// Why an action was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GateError {
    /// The proof was made under another fencing token.
    #[error("the proof for {key} is of token {given}, the gate of {own}")]
    OtherToken {
        /// The intent's key.
        key: IdempotencyKey,
        /// The proof's token.
        given: u64,
        /// The gate's token.
        own: u64,
    },
    /// The proof was made for another action.
    #[error("the proof for {key} is of another action")]
    OtherAction {
        /// The intent's key.
        key: IdempotencyKey,
    },
    /// There is no proof although fencing is on.
    #[error("fencing is on: an action needs a proof")]
    NoProof,
}

/// How many actions were let through on which basis, and how many were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// Let through with a durable intent.
    pub recorded: u64,
    /// Let through without one, as forced returns.
    pub compelled: u64,
    /// Let through while fencing was off.
    pub unfenced: u64,
    /// Refused.
    pub refused: u64,
}

/// Lets the actions of one leader's term through.
#[derive(Debug)]
pub struct FencingGate {
    token: u64,
    fenced: bool,
    counts: GateCounters,
}

impl FencingGate {
    /// A gate that demands proofs.
    pub fn fenced(token: u64) -> Self {
        Self { token, fenced: true, counts: GateCounters::default() }
    }

    /// A gate that lets everything through, for clusters without fencing.
    pub fn unfenced(token: u64) -> Self {
        Self { token, fenced: false, counts: GateCounters::default() }
    }

    /// Whether the gate demands proofs.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Lets an action through, or refuses it; the proof may be missing only while fencing is
    /// off.
    pub fn permit(
        &mut self,
        action: CloudAction,
        proof: Option<IssueProof>,
    ) -> Result<PermittedAction, GateError> {
        let basis = self.check(&action, proof);
        match &basis {
            Ok(Basis::Recorded { .. }) => self.counts.recorded += 1,
            Ok(Basis::Compelled) => self.counts.compelled += 1,
            Ok(Basis::Unfenced) => self.counts.unfenced += 1,
            Err(_) => self.counts.refused += 1,
        }
        basis.map(|basis| PermittedAction { action, basis })
    }

    fn check(&self, action: &CloudAction, proof: Option<IssueProof>) -> Result<Basis, GateError> {
        let Some(proof) = proof else {
            return if self.fenced { Err(GateError::NoProof) } else { Ok(Basis::Unfenced) };
        };
        if proof.token != self.token {
            return Err(GateError::OtherToken { key: proof.key, given: proof.token, own: self.token });
        }
        if proof.digest != action.digest() {
            return Err(GateError::OtherAction { key: proof.key });
        }
        Ok(proof.basis)
    }

    /// The counters since the gate was made.
    pub fn counts(&self) -> GateCounters {
        self.counts
    }
}
