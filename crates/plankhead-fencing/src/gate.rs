//! The gate: the only place where an action becomes one that adapters accept.
//!
//! [`Permitted`] has no public constructor, and neither has [`Proof`]: a proof comes from
//! [`DutyLog`](crate::log::DutyLog) alone, for a duty whose record is durable.

use crate::action::{Action, Digest};
use crate::duty::DutyKey;
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
pub struct Proof {
    pub(crate) token: u64,
    pub(crate) key: DutyKey,
    pub(crate) digest: Digest,
    pub(crate) basis: Basis,
}

/// An action that has passed the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permitted {
    action: Action,
    basis: Basis,
}

impl Permitted {
    pub fn action(&self) -> &Action {
        &self.action
    }

    pub fn basis(&self) -> Basis {
        self.basis
    }
}

/// Why an action was not let through.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("the proof for {key} is of token {given}, the gate of {own}")]
    OtherHolder { key: DutyKey, given: u64, own: u64 },
    #[error("the proof for {key} is of another action")]
    OtherAction { key: DutyKey },
    #[error("fencing is on: an action needs a proof")]
    NoProof,
}

/// How many actions went through, and on what grounds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateCounts {
    pub recorded: u64,
    pub compelled: u64,
    pub unfenced: u64,
    pub refused: u64,
}

/// Lets one lease holder's actions through.
#[derive(Debug)]
pub struct Gate {
    token: u64,
    fenced: bool,
    counts: GateCounts,
}

impl Gate {
    /// A gate that asks for proofs.
    pub fn fenced(token: u64) -> Self {
        Self { token, fenced: true, counts: GateCounts::default() }
    }

    /// A gate that stands open, for services without fencing.
    pub fn open(token: u64) -> Self {
        Self { token, fenced: false, counts: GateCounts::default() }
    }

    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Every action passes here; `proof` may lack only while fencing is off.
    pub fn pass(&mut self, action: Action, proof: Option<Proof>) -> Result<Permitted, Refusal> {
        let basis = self.examine(&action, proof);
        match &basis {
            Ok(Basis::Recorded { .. }) => self.counts.recorded += 1,
            Ok(Basis::Compelled) => self.counts.compelled += 1,
            Ok(Basis::Unfenced) => self.counts.unfenced += 1,
            Err(_) => self.counts.refused += 1,
        }
        basis.map(|basis| Permitted { action, basis })
    }

    fn examine(&self, action: &Action, proof: Option<Proof>) -> Result<Basis, Refusal> {
        let Some(proof) = proof else {
            return if self.fenced { Err(Refusal::NoProof) } else { Ok(Basis::Unfenced) };
        };
        if proof.token != self.token {
            return Err(Refusal::OtherHolder { key: proof.key, given: proof.token, own: self.token });
        }
        if proof.digest != action.digest() {
            return Err(Refusal::OtherAction { key: proof.key });
        }
        Ok(proof.basis)
    }

    pub fn counts(&self) -> GateCounts {
        self.counts
    }
}
