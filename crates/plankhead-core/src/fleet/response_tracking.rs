//! Tracks the responses to a worker's heartbeats and whether the worker acts on them.

use crate::protocol::{EffectKind, ExpectedEffect, Heartbeat, ReportedTask, TaskStatus, WorkerCommand};
use std::time::Duration;

/// If a worker lease expires within this time after a response was sent, that response did not arrive,
/// because it would have renewed the lease.
const MIN_RENEWED_LEASE: Duration = Duration::from_millis(4500);
/// The number of consecutive responses without effect after which a worker counts as ignoring commands.
const MAX_IGNORED_RESPONSES: u32 = 3;

/// The responses to one worker's heartbeats.
#[derive(Debug, Clone, Default)]
pub struct ResponseTracking {
    /// When a heartbeat of the confirmed machine was last answered.
    pub answered_at: Option<Duration>,
    /// The effects of the starts and kills in the latest response. The next heartbeat must show at
    /// least one of them.
    pub expected_effects: Vec<ExpectedEffect>,
    ignored_in_a_row: u32,
}

impl ResponseTracking {
    /// Records the commands of a response sent at `now`.
    pub(super) fn record(&mut self, commands: &[WorkerCommand], now: Duration) {
        self.answered_at = Some(now);
        self.expected_effects = commands.iter().filter_map(WorkerCommand::expected_effect).collect();
    }

    /// Compares a heartbeat with the response before it. Returns whether enough consecutive
    /// responses had no effect to conclude that the worker ignores commands.
    pub(super) fn check_effects(&mut self, heartbeat: &Heartbeat) -> bool {
        let is_effective = self.shows_expected_effect(heartbeat);
        self.expected_effects.clear();
        if is_effective {
            self.ignored_in_a_row = 0;
            return false;
        }
        self.ignored_in_a_row += 1;
        self.ignored_in_a_row >= MAX_IGNORED_RESPONSES
    }

    /// Drops the expected effects. The next heartbeat then need not show any, so `check_effects` resets
    /// the count of ignored responses.
    pub(super) fn clear_expected_effects(&mut self) {
        self.expected_effects.clear();
    }

    /// Returns whether the latest checked response had no effect.
    pub(super) fn is_ignored(&self) -> bool {
        self.ignored_in_a_row > 0
    }

    /// Returns whether the latest response is so recent that, had it arrived, the worker lease would
    /// not have expired by `now`.
    pub(super) fn should_have_renewed_lease(&self, now: Duration) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_sub(at) < MIN_RENEWED_LEASE)
    }

    /// Returns whether the heartbeat shows at least one of the expected effects, or there are none.
    fn shows_expected_effect(&self, heartbeat: &Heartbeat) -> bool {
        let is_shown = |effect: &ExpectedEffect| {
            let is_attempt =
                |listed: &&ReportedTask| listed.task == effect.task && listed.attempt == effect.attempt;
            match heartbeat.tasks.iter().find(is_attempt).map(|listed| listed.status) {
                Some(TaskStatus::Exited(_) | TaskStatus::Checkpointing) => true,
                Some(_) => effect.kind == EffectKind::Started,
                None => effect.kind == EffectKind::Stopped,
            }
        };
        self.expected_effects.is_empty() || self.expected_effects.iter().any(is_shown)
    }
}
