//! Capacity backoff: a pool that refused a rental is left alone for a while, and what it had by
//! then is taken for its size.

use crate::protocol::Pool;
use std::collections::HashMap;
use std::time::Duration;

/// How long a pool is not asked again after it refused.
const RETRY_INTERVAL: Duration = Duration::from_secs(12);
/// How long what a refusal showed of a pool's size is believed.
const LIMIT_TIMEOUT: Duration = Duration::from_secs(150);

/// What the latest refusal of a pool showed.
#[derive(Debug, Clone)]
struct CapacityBackoff {
    refused_at: Duration,
    /// The machines of the pool that were held at that time, the most that it gave.
    limit: u32,
}

/// The refusals of all pools.
#[derive(Debug, Clone, Default)]
pub(super) struct CapacityBackoffs(HashMap<Pool, CapacityBackoff>);

impl CapacityBackoffs {
    /// The pool gave less than it was asked for, while `held` of its machines were rented.
    pub(super) fn refused(&mut self, pool: &Pool, held: u32, now: Duration) {
        self.0.insert(pool.clone(), CapacityBackoff { refused_at: now, limit: held });
    }

    /// Whether the pool may be asked.
    pub(super) fn may_rent_from(&self, pool: &Pool, now: Duration) -> bool {
        self.0.get(pool).is_none_or(|backoff| backoff.refused_at + RETRY_INTERVAL <= now)
    }

    /// The most machines that the pool gave, if it refused lately.
    pub(super) fn limit(&self, pool: &Pool, now: Duration) -> Option<u32> {
        let backoff = self.0.get(pool)?;
        (now.saturating_sub(backoff.refused_at) <= LIMIT_TIMEOUT).then_some(backoff.limit)
    }
}
