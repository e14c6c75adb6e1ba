//! Probes of links to the state service that fail and that nothing else uses.

use crate::calls::{CallPurpose, ReachabilityCall};
use crate::effects::EffectSink;
use crate::leadership::election;
use crate::protocol::{Condition, KvChange, KvRequest};
use plankhead_reachability::link::LinkId;
use plankhead_reachability::monitor::Monitor;
use std::time::Duration;

/// How often a failing link without traffic is tried: while writes fail, users' jobs are
/// refused, so that nothing else would show that they work again.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// No key ever has this revision: a write under that condition is refused, and shows that
/// writes work.
const IMPOSSIBLE_REVISION: u64 = u64::MAX / 2;

pub(super) fn send_probes(monitor: &Monitor, now: Duration, effects: &mut EffectSink) {
    let probe = CallPurpose::Reachability(ReachabilityCall::Probe);
    if monitor.wants_probe(LinkId::KvReads, now) {
        effects.call_kv(probe.clone(), KvRequest::Get { key: election::KEY.into() });
    }
    if monitor.wants_probe(LinkId::KvWrites, now) {
        let conditions = vec![Condition { key: election::KEY.into(), mod_revision: IMPOSSIBLE_REVISION }];
        let changes = vec![KvChange::Delete { key: election::KEY.into() }];
        effects.call_kv(probe, KvRequest::Txn { conditions, changes });
    }
}
