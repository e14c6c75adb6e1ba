//! The commands sent to one worker, and the tokens under which they were sent.

use crate::protocol::{CommandReply, WorkerCommand};
use crate::token_range::{TokenRange, WorkerTokens};

/// Why the end of an attempt is not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcknowledgementWait {
    /// A direct command waits for its reply; the worker would refuse it under a lower token.
    CommandInFlight,
    /// No token is known to be in force above those of earlier direct starts.
    LaterToken,
}

/// The commands to one worker.
#[derive(Debug, Clone, Default)]
pub struct CommandTracking {
    /// Whether a direct command is waiting for its reply.
    pub in_flight: bool,
    /// The number of consecutive direct commands without an answer.
    pub unanswered: u32,
    /// Why acknowledgements were left out of the latest answer to a heartbeat, if they were.
    pub acknowledgement_wait: Option<AcknowledgementWait>,
    /// The highest token under which this node has sent commands or answered a heartbeat.
    token: u64,
    /// A token that no direct start sent by this node exceeds; unknown before the first answer to a
    /// heartbeat.
    direct_start_token: Option<u64>,
}

impl CommandTracking {
    /// Returns the token for the next direct command, given the base token for the machine.
    pub(super) fn token(&self, base: u64) -> u64 {
        self.token.max(base)
    }

    /// Records that a direct command is being sent under this token.
    pub(super) fn begin(&mut self, token: u64, has_starts: bool) {
        self.in_flight = true;
        self.token = self.token.max(token);
        if let Some(highest) = self.direct_start_token.as_mut().filter(|_| has_starts) {
            *highest = (*highest).max(token);
        }
    }

    /// Handles the outcome of a direct command.
    pub(super) fn end(&mut self, reply: &CommandReply) {
        self.in_flight = false;
        if !matches!(reply, CommandReply::Answered(_)) {
            self.unanswered += 1;
        }
    }

    /// Forgets under which tokens starts were sent directly, because another role of this node may have
    /// sent some.
    pub(super) fn forget_direct_starts(&mut self) {
        self.direct_start_token = None;
    }

    /// Chooses the token for the answer to a heartbeat, and removes the acknowledgements from `commands`
    /// that may not be sent under it.
    ///
    /// The worker forgets an acknowledged attempt, and would carry out a copy of its start again. So an
    /// acknowledgement is sent only under a token above all under which a start was sent directly: the
    /// worker then refuses every copy. Starts in answers to heartbeats are never carried out late.
    pub(super) fn choose_token(&mut self, tokens: WorkerTokens, commands: &mut Vec<WorkerCommand>) -> u64 {
        let WorkerTokens { range, seen_by_worker } = tokens;
        let seen = if range.contains(seen_by_worker) { seen_by_worker } else { range.base };
        self.token = self.token.max(seen);
        let direct_start_token = *self.direct_start_token.get_or_insert(range.newest);
        self.acknowledgement_wait = None;
        if commands.iter().any(is_acknowledgement) {
            match self.acknowledging_token(range, direct_start_token) {
                Ok(token) => self.token = token,
                Err(wait) => {
                    self.acknowledgement_wait = Some(wait);
                    commands.retain(|command| !is_acknowledgement(command));
                }
            }
        }
        self.token
    }

    /// Returns the token under which ends may be acknowledged, which is the present one if possible.
    fn acknowledging_token(
        &self,
        range: TokenRange,
        direct_start_token: u64,
    ) -> Result<u64, AcknowledgementWait> {
        if self.token > direct_start_token {
            return Ok(self.token);
        }
        if self.in_flight {
            return Err(AcknowledgementWait::CommandInFlight);
        }
        if range.newest > direct_start_token {
            return Ok(range.newest);
        }
        Err(AcknowledgementWait::LaterToken)
    }
}

fn is_acknowledgement(command: &WorkerCommand) -> bool {
    matches!(command, WorkerCommand::Acknowledge { .. })
}
