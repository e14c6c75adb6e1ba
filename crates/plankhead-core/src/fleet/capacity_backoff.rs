//! Capacity backoff: a pool that refused a rental receives no rental requests for a while, and the
//! number of machines held from it at that time is taken as its capacity.

use crate::protocol::Pool;
use std::collections::HashMap;
use std::time::Duration;

/// The time for which no further machines are requested from a pool after a refusal.
const RETRY_INTERVAL: Duration = Duration::from_secs(12);
/// The time for which the capacity learned from a refusal stays valid.
const LIMIT_TIMEOUT: Duration = Duration::from_secs(150);

/// The latest refusal of a pool.
#[derive(Debug, Clone)]
struct Refusal {
    refused_at: Duration,
    /// The number of the pool's machines that were held at that time, taken as its capacity.
    limit: u32,
}

/// The latest refusal of each pool.
#[derive(Debug, Clone, Default)]
pub(super) struct CapacityBackoffs(HashMap<Pool, Refusal>);

impl CapacityBackoffs {
    /// Records that the pool provided fewer machines than requested while `held` of its machines
    /// were rented.
    pub(super) fn record_refusal(&mut self, pool: &Pool, held: u32, now: Duration) {
        self.0.insert(pool.clone(), Refusal { refused_at: now, limit: held });
    }

    /// Returns whether machines may be requested from the pool now.
    pub(super) fn may_rent_from(&self, pool: &Pool, now: Duration) -> bool {
        self.0.get(pool).is_none_or(|refusal| refusal.refused_at + RETRY_INTERVAL <= now)
    }

    /// Returns the pool's capacity as learned from a refusal that is still valid.
    pub(super) fn limit(&self, pool: &Pool, now: Duration) -> Option<u32> {
        let refusal = self.0.get(pool)?;
        (now.saturating_sub(refusal.refused_at) <= LIMIT_TIMEOUT).then_some(refusal.limit)
    }
}
