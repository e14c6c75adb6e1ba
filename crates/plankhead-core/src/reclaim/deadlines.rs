//! The times by which the tasks of a cancelled job must be gone, and by which their machines are returned.

use crate::settings::Settings;
use plankhead_fencing::leaderless::RECLAIM_LEAD_TIME;
use std::time::Duration;

/// The time before a reclaim is due during which a node inspects the machine: long enough for two
/// inspections that time out, and for a read of the inventory that is repeated once.
pub const PREPARATION_TIME: Duration = Duration::from_secs(8);

/// Returns the time within which a cancellation must be complete, reduced by the clock error so that it
/// holds whichever node's clock recorded the cancellation.
pub fn cancellation_timeout(settings: &Settings) -> Duration {
    settings.cancel_within.saturating_sub(settings.clock_error * 2)
}

/// Returns the time after a cancellation at which a machine that may still run a task of the job is
/// reclaimed.
pub fn reclaim_delay(settings: &Settings) -> Duration {
    cancellation_timeout(settings).saturating_sub(RECLAIM_LEAD_TIME)
}

/// Returns the time after a cancellation from which on the machines that may still run tasks of the job
/// are inspected.
pub fn inspection_delay(settings: &Settings) -> Duration {
    reclaim_delay(settings).saturating_sub(PREPARATION_TIME)
}
