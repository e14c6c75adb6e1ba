//! The keys and digests of ended intents, which are kept so that a key is not reused for another
//! action.

use crate::action::ActionDigest;
use crate::intent::IdempotencyKey;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of ended intents that are kept. The oldest are dropped first.
const MAX_ENDED_INTENTS: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct EndedIntents {
    digests: BTreeMap<IdempotencyKey, ActionDigest>,
    /// The keys in the order in which their intents ended, oldest first.
    order: VecDeque<IdempotencyKey>,
    confirmed: u64,
    abandoned: u64,
}

/// The final state of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IntentOutcome {
    Confirmed,
    Abandoned,
}

impl EndedIntents {
    pub fn digest(&self, key: &IdempotencyKey) -> Option<ActionDigest> {
        self.digests.get(key).copied()
    }

    pub fn insert(&mut self, key: IdempotencyKey, digest: ActionDigest, outcome: IntentOutcome) {
        match outcome {
            IntentOutcome::Confirmed => self.confirmed += 1,
            IntentOutcome::Abandoned => self.abandoned += 1,
        }
        self.digests.insert(key.clone(), digest);
        self.order.push_back(key);
        if self.order.len() > MAX_ENDED_INTENTS {
            if let Some(oldest) = self.order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    pub fn abandoned(&self) -> u64 {
        self.abandoned
    }
}
