//! The state of the leader's intents during one term.

use crate::calls::PendingRental;
use crate::fleet::RemovalReason;
use crate::leader::persistence::MAX_TXN_BYTES;
use crate::protocol::MachineName;
use crate::settings::{Fencing, Settings};
use plankhead_fencing::action::{InstanceReturn, ReturnReason, MAX_RETURN_MACHINES};
use plankhead_fencing::gate::FencingGate;
use plankhead_fencing::intent::{IdempotencyKey, Intent};
use plankhead_fencing::intent_log::IntentLog;
use plankhead_fencing::page_writes::StoreLimits;
use plankhead_fencing::record::PageId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The maximum number of open intents that the operators' view lists.
const MAX_INTENTS_SHOWN: usize = 100;

/// A rental that the cloud refused although an earlier copy of its request may still be carried out.
#[derive(Debug)]
pub(super) struct RefusedRental {
    /// When the rental is requested again.
    pub due: Duration,
    pub rental: PendingRental,
}

/// A return whose request is to be sent again.
#[derive(Debug)]
pub(super) struct ReturnRetry {
    /// When the return is requested again.
    pub due: Duration,
    pub key: IdempotencyKey,
}

/// A machine that is to be returned to the cloud.
#[derive(Debug)]
pub(in crate::leader) struct LeavingMachine {
    pub name: MachineName,
    pub reason: RemovalReason,
}

/// Why a return may be issued without its record while the state service fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum ReturnForce {
    /// A cancelled task on the machines must be gone by now.
    CancellationDue,
    /// The leader can't see which jobs were cancelled. Permitted only while no peer leads.
    CancellationsUnseen,
}

/// The intents of a leader during its term, and the requests that wait for them.
#[derive(Debug)]
pub(in crate::leader) struct Intents {
    pub(super) settings: Fencing,
    pub(super) gate: FencingGate,
    pub(super) log: IntentLog,
    /// Intents whose actions may be sent now.
    pub(super) ready: VecDeque<IdempotencyKey>,
    /// Returns that were adopted or have failed, to be requested again.
    pub(super) return_retries: Vec<ReturnRetry>,
    pub(super) refused_rentals: Vec<RefusedRental>,
    /// Returns that may be issued without their records.
    pub(super) forced: BTreeMap<IdempotencyKey, ReturnForce>,
    /// Pages whose revisions are being read.
    pub(super) pages_being_read: BTreeSet<PageId>,
    pub(super) next_write_at: Duration,
    pub(super) next_compaction_at: Duration,
    /// The wall-clock time of the current step, in milliseconds since 1970.
    pub(in crate::leader) wall_ms: u64,
}

impl Intents {
    pub(in crate::leader) fn new(settings: &Settings, token: u64, now: Duration) -> Self {
        let fencing = settings.fencing;
        let limits = StoreLimits {
            value_bytes: settings.max_value_bytes,
            changes: settings.max_txn_changes,
            transaction_bytes: MAX_TXN_BYTES,
        };
        Self {
            settings: fencing,
            gate: if fencing.enabled { FencingGate::fenced(token) } else { FencingGate::unfenced(token) },
            log: IntentLog::new(token, limits),
            ready: VecDeque::new(),
            return_retries: Vec::new(),
            refused_rentals: Vec::new(),
            forced: BTreeMap::new(),
            pages_being_read: BTreeSet::new(),
            next_write_at: now,
            next_compaction_at: now,
            wall_ms: 0,
        }
    }

    /// Returns whether intents must be recorded before they are issued.
    pub(in crate::leader) fn is_fenced(&self) -> bool {
        self.gate.is_fenced()
    }

    /// Returns whether some intent is ready to be sent or waits for the state service.
    pub(in crate::leader) fn has_pending_work(&self) -> bool {
        !self.ready.is_empty() || !self.log.uncertain_pages().is_empty() || self.log.has_unrecorded()
    }

    /// Builds a return request for the first of these machines, as many as one request may contain.
    pub(in crate::leader) fn machines_per_return(
        &self,
        machines: &[MachineName],
        reason: ReturnReason,
    ) -> InstanceReturn {
        if self.is_fenced() {
            return self.log.return_within_limits(machines, reason);
        }
        InstanceReturn { machines: machines.iter().take(MAX_RETURN_MACHINES).cloned().collect(), reason }
    }

    /// Returns the intents as shown in the operators' view.
    pub(in crate::leader) fn view(&self) -> serde_json::Value {
        let counts = self.gate.counts();
        let summary = self.log.summary();
        let shown = |intent: &Intent| {
            serde_json::json!({"key": intent.key.to_string(), "kind": intent.action.kind(),
                "subject": intent.action.subject(), "holder": intent.token, "state": intent.state().name(),
                "attempts": intent.attempts,
                "ageS": self.wall_ms.saturating_sub(intent.intended_ms) as f64 / 1e3})
        };
        let open: Vec<_> = self.log.open_intents().take(MAX_INTENTS_SHOWN).map(shown).collect();
        serde_json::json!({
            "enabled": self.is_fenced(),
            "passed": {"recorded": counts.recorded, "compelled": counts.compelled,
                "unfenced": counts.unfenced, "refused": counts.refused},
            "intended": summary.intended, "recorded": summary.recorded, "adopted": summary.adopted,
            "issued": summary.issued, "confirmed": summary.confirmed, "abandoned": summary.abandoned,
            "pages": summary.pages, "unreadablePages": summary.unreadable_pages,
            "open": open,
        })
    }
}
