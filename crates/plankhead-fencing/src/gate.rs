//! The gate: the only place where an action becomes one that adapters accept.
//!
//! [`PermittedAction`] has no public constructor, and neither has [`IssueProof`]: a proof comes from
//! [`IntentLog`](crate::log::DutyLog) alone, for a duty whose record is durable.

use crate::action::{Action, ActionDigest};
use crate::duty::IdempotencyKey;
use thiserror::Error;

/// Why an action may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// Its intention is durable at this revision of the state service.
    Recorded { revision: u64 },
    /// A rule forces it, and the state service failed the attempt to record it.
    Compelled,
    /// Fencing is switched off.
    Unfenced,
}

/// Shows that a duty may be issued; made by the duty log only.
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
    action: Action,
    basis: Basis,
}

impl PermittedAction {
    pub fn action(&self) -> &Action {
        &self.action
    }

    pub fn basis(&self) -> Basis {
        self.basis
    }
}

/// Why an action was not let through.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GateError {
    #[error("the proof for {key} is of token {given}, the gate of {own}")]
    OtherHolder { key: IdempotencyKey, given: u64, own: u64 },
    #[error("the proof for {key} is of another action")]
    OtherAction { key: IdempotencyKey },
    #[error("fencing is on: an action needs a proof")]
    NoProof,
}

/// How many actions went through, and on what grounds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateCounters {
    pub recorded: u64,
    pub compelled: u64,
    pub unfenced: u64,
    pub refused: u64,
}

/// Lets one lease holder's actions through.
#[derive(Debug)]
pub struct FencingGate {
    token: u64,
    fenced: bool,
    counts: GateCounters,
}

impl FencingGate {
    /// A gate that asks for proofs.
    pub fn fenced(token: u64) -> Self {
        Self { token, fenced: true, counts: GateCounters::default() }
    }

    /// A gate that stands open, for services without fencing.
    pub fn open(token: u64) -> Self {
        Self { token, fenced: false, counts: GateCounters::default() }
    }

    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Every action passes here; `proof` may lack only while fencing is off.
    pub fn pass(&mut self, action: Action, proof: Option<IssueProof>) -> Result<PermittedAction, GateError> {
        let basis = self.examine(&action, proof);
        match &basis {
            Ok(Basis::Recorded { .. }) => self.counts.recorded += 1,
            Ok(Basis::Compelled) => self.counts.compelled += 1,
            Ok(Basis::Unfenced) => self.counts.unfenced += 1,
            Err(_) => self.counts.refused += 1,
        }
        basis.map(|basis| PermittedAction { action, basis })
    }

    fn examine(&self, action: &Action, proof: Option<IssueProof>) -> Result<Basis, GateError> {
        let Some(proof) = proof else {
            return if self.fenced { Err(GateError::NoProof) } else { Ok(Basis::Unfenced) };
        };
        if proof.token != self.token {
            return Err(GateError::OtherHolder { key: proof.key, given: proof.token, own: self.token });
        }
        if proof.digest != action.digest() {
            return Err(GateError::OtherAction { key: proof.key });
        }
        Ok(proof.basis)
    }

    pub fn counts(&self) -> GateCounters {
        self.counts
    }
}
