//! The fencing gate, the only source of the [`PermittedAction`]s that the cloud adapters accept.
//!
//! [`PermittedAction`] and [`IssueProof`] have no public constructors. Proofs are created only by
//! [`IntentLog`](crate::intent_log::IntentLog), for intents that are durable and for forced returns, which
//! are returns that [`allow_unrecorded_issue`](crate::intent_log::IntentLog::allow_unrecorded_issue) permits.
//! The only action without a proof is a [`LeaderlessReclaim`], which has rules of its own.

use crate::action::{ActionDigest, CloudAction};
use crate::intent::IdempotencyKey;
use crate::leaderless::LeaderlessReclaim;
use thiserror::Error;

/// The reason why an action may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The intent is durable.
    Recorded {
        /// The revision of the state service at which the intent was recorded.
        revision: u64,
    },
    /// The action is a forced return that the state service failed to record.
    Compelled,
    /// Fencing is disabled.
    Unfenced,
    /// The sender does not lead, see [`LeaderlessReclaim`].
    Leaderless,
}

/// Proof that an intent may be issued. It is created only by the intent log.
#[derive(Debug, PartialEq, Eq)]
pub struct IssueProof {
    pub(crate) token: u64,
    pub(crate) key: IdempotencyKey,
    pub(crate) digest: ActionDigest,
    pub(crate) basis: Basis,
}

/// An action that the gate has permitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermittedAction {
    action: CloudAction,
    basis: Basis,
}

impl PermittedAction {
    /// Returns the action.
    pub fn action(&self) -> &CloudAction {
        &self.action
    }

    /// Returns the reason why the action was permitted.
    pub fn basis(&self) -> Basis {
        self.basis
    }
}

impl From<LeaderlessReclaim> for PermittedAction {
    fn from(reclaim: LeaderlessReclaim) -> Self {
        Self { action: reclaim.into_action(), basis: Basis::Leaderless }
    }
}

/// The reasons why the gate refuses an action.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GateError {
    /// The proof was created under another fencing token.
    #[error("the proof for {key} was created under token {given}, but the gate's token is {own}")]
    OtherToken {
        /// The intent's key.
        key: IdempotencyKey,
        /// The proof's token.
        given: u64,
        /// The gate's token.
        own: u64,
    },
    /// The proof was created for another action.
    #[error("the proof for {key} was created for another action")]
    OtherAction {
        /// The intent's key.
        key: IdempotencyKey,
    },
    /// Fencing is enabled, and there is no proof.
    #[error("fencing is enabled, and the action has no proof")]
    NoProof,
}

/// The numbers of actions that the gate has permitted, by [`Basis`], and refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// The number of actions permitted with a durable intent.
    pub recorded: u64,
    /// The number of forced returns permitted without a durable intent.
    pub compelled: u64,
    /// The number of actions permitted while fencing was disabled.
    pub unfenced: u64,
    /// The number of actions refused.
    pub refused: u64,
}

/// Permits or refuses the actions of one leader's term.
#[derive(Debug)]
pub struct FencingGate {
    token: u64,
    fenced: bool,
    counts: GateCounters,
}

impl FencingGate {
    /// Creates a gate that requires proofs.
    pub fn fenced(token: u64) -> Self {
        Self { token, fenced: true, counts: GateCounters::default() }
    }

    /// Creates a gate that permits actions without proofs, for clusters without fencing.
    pub fn unfenced(token: u64) -> Self {
        Self { token, fenced: false, counts: GateCounters::default() }
    }

    /// Returns whether the gate requires proofs.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Permits or refuses an action. The proof may be missing only if fencing is disabled.
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
            // No intent has this basis.
            Ok(Basis::Leaderless) | Err(_) => self.counts.refused += 1,
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

    /// Returns the counters since the gate was created.
    pub fn counts(&self) -> GateCounters {
        self.counts
    }
}
