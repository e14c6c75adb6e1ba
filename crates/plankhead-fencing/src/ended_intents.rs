//! The keys of ended intents, which are remembered to refuse their reuse.

use crate::action::ActionDigest;
use crate::intent::IdempotencyKey;
use std::collections::{BTreeMap, VecDeque};

/// How many ended intents are remembered; the oldest are forgotten first.
const MAX_ENDED_INTENTS: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct EndedIntents {
    digests: BTreeMap<IdempotencyKey, ActionDigest>,
    /// The keys from the oldest to the newest.
    order: VecDeque<IdempotencyKey>,
    confirmed: u64,
    abandoned: u64,
}

/// How an intent ended.
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
