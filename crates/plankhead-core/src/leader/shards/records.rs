//! Naming the holders of shards: the input to the registry, the writes of shard records, and the effects
//! of a change of holder.

use super::super::{Leader, TermStatus};
use super::{Peer, WRITE_RETRY_INTERVAL};
use crate::calls::LeaderCall;
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::leadership::election;
use crate::protocol::{CallError, Condition, KvChange, KvReply, KvRequest, LogLevel, MachineName};
use crate::requests::RequestHandler;
use plankhead_sharding::balance::Candidate;
use plankhead_sharding::registry::{HolderNamed, NamingReason, RecordWrite, RegistryInput, WriteOutcome};
use std::time::Duration;

impl Leader {
    /// Collects the live nodes, machine counts and zones from which the registry chooses holders.
    pub(super) fn registry_input(&self, now: Duration) -> RegistryInput {
        let settings = &self.settings.sharding;
        let mut input = RegistryInput::default();
        let Some(shards) = &self.shards else { return input };
        let is_alive = |peer: &&Peer| {
            peer.sees_records && now.saturating_sub(peer.last_heard_at) < settings.holder_timeout
        };
        let own = (&self.settings.host, &self.settings.zone, settings.leader_capacity, self.settings.boot_id);
        let peers = shards.peers.iter().filter(|(_, peer)| is_alive(peer));
        let peers = peers.map(|(host, peer)| (host, &peer.zone, 1.0, peer.boot_id));
        for (host, zone, capacity, boot) in peers.chain([own]) {
            input.live_nodes.insert(host.clone(), boot);
            if !settings.drained.contains(host) {
                let (host, zone) = (host.clone(), zone.clone());
                input.candidates.push(Candidate { host, zone, capacity });
            }
        }
        for machine in self.fleet.machines.values() {
            if let Some(shard) = self.shard_of(machine) {
                *input.machines.entry(shard).or_default() += 1;
            }
        }
        input.zones = self
            .fleet
            .machine_types
            .values()
            .flat_map(|machine_type| machine_type.zones.iter().cloned())
            .collect();
        input
    }

    /// Names holders where that is due, and sends holders the commands that have changed.
    pub(in crate::leader) fn tick_shards(
        &mut self,
        now: Duration,
        lease_valid: bool,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Some(shards) = &self.shards else { return };
        if lease_valid && now >= shards.next_write_at {
            self.write_records(now, effects);
        }
        self.refresh_due_commands(now);
        self.flush_shard_commands(now, requests, effects);
    }

    /// Writes the shard records that are due, within the write budget.
    fn write_records(&mut self, now: Duration, effects: &mut EffectSink) {
        let max_changes = self.settings.max_txn_changes.min(self.persistence.available(now));
        let input = self.registry_input(now);
        let Some(shards) = &mut self.shards else { return };
        shards.next_write_at = shards.registry.next_due(now);
        if max_changes == 0 {
            return;
        }
        let writes = shards.registry.next_writes(&input, max_changes, now);
        if writes.is_empty() {
            return;
        }
        self.persistence.take(now, writes.len());
        let condition =
            |write: &RecordWrite| Condition { key: write.shard.key(), mod_revision: write.revision };
        let conditions = [self.leader_condition()].into_iter().chain(writes.iter().map(condition)).collect();
        let change = |write: &RecordWrite| {
            let key = write.shard.key();
            let value = write.record.as_ref().and_then(|record| serde_json::to_string(record).ok());
            match value {
                Some(value) => KvChange::Put { key, value, lease: None },
                None => KvChange::Delete { key },
            }
        };
        let changes = writes.iter().map(change).collect();
        let call = LeaderCall::WriteShards { writes, sent: now };
        self.call_kv(call, KvRequest::Txn { conditions, changes }, effects);
    }

    /// Handles the reply to a write of shard records that was sent at `sent`.
    pub(in crate::leader) fn shards_written(
        &mut self,
        now: Duration,
        writes: Vec<RecordWrite>,
        sent: Duration,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> TermStatus {
        let outcome = match reply {
            Ok(KvReply::Committed { revision }) => WriteOutcome::Committed { revision },
            Ok(KvReply::Conflict { failed }) if failed.iter().any(|key| key == election::KEY) => {
                return TermStatus::Over;
            }
            Ok(_) | Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                WriteOutcome::Failed
            }
            Err(CallError::OutcomeUnknown) => WriteOutcome::Unknown,
        };
        let Some(shards) = &mut self.shards else { return TermStatus::Continues };
        let committed = matches!(outcome, WriteOutcome::Committed { .. });
        shards.next_write_at = if committed { now } else { now + WRITE_RETRY_INTERVAL };
        let named: Vec<HolderNamed> = writes
            .iter()
            .filter_map(|write| shards.registry.write_completed(write, outcome, sent, now))
            .collect();
        for named in named {
            self.holder_named(now, named, effects);
        }
        TermStatus::Continues
    }

    /// Handles the naming of a shard's holder: logs a change, marks the commands for the shard's machines
    /// as due, and gives workers that must find another node time to do so.
    fn holder_named(&mut self, now: Duration, named: HolderNamed, effects: &mut EffectSink) {
        let HolderNamed { shard, from, to, epoch, reason } = named;
        let moved = from.as_ref() != Some(&to);
        if moved {
            let from = from.as_deref().unwrap_or("none");
            let text = format!(
                "shard holder changed: from={from} to={to} shard={shard} epoch={epoch} reason={reason:?}"
            );
            effects.log(LogLevel::Info, text);
        }
        let is_of_shard = |machine: &&Machine| self.shard_of(machine).as_ref() == Some(&shard);
        let machines: Vec<MachineName> =
            self.fleet.machines.values().filter(is_of_shard).map(|machine| machine.name.clone()).collect();
        let is_own = to == self.settings.host;
        let Some(shards) = &mut self.shards else { return };
        for peer in shards.peers.values_mut() {
            for name in &machines {
                peer.sent.remove(name);
                peer.commands_due.remove(name);
            }
            peer.newly_held.remove(&shard);
        }
        if let Some(peer) = from.as_ref().filter(|_| moved).and_then(|from| shards.peers.get_mut(from)) {
            peer.shard_taken = true;
        }
        if let Some(peer) = shards.peers.get_mut(&to).filter(|_| !is_own) {
            peer.commands_due.extend(machines.iter().cloned());
            if reason != NamingReason::Renewed {
                peer.newly_held.insert(shard);
            }
        }
        for name in machines {
            if moved {
                self.fleet.extend_for_reroute(&name, now);
            }
            if is_own {
                self.send_commands(now, &name, effects);
            }
        }
    }
}
