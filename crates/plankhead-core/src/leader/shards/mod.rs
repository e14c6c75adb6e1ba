//! The leader's side of sharding. The leader names the holders of shards, processes their status
//! messages, and sends its commands for machines through them.

mod commands;
mod records;
mod statuses;

use super::Leader;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::Machine;
use crate::protocol::{Heartbeat, MachineName, WorkerCommand};
use crate::settings::Settings;
use plankhead_sharding::machine_numbers::NumberedMachines;
use plankhead_sharding::registry::ShardRegistry;
use plankhead_sharding::sequence::SequenceGuard;
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::ShardTable;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The pause before shard records are written again after a write that failed or got no answer.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Which node answers a heartbeat that reached the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderRoute {
    /// The leader answers it.
    Own,
    /// Another node answers it, as the holder of the machine's shard.
    Holder {
        /// The holder's name.
        host: String,
        /// The shard's epoch.
        epoch: u64,
    },
    /// The worker knows a token above every epoch known to this leader. It may be the epoch of a shard
    /// record that was written although the leader does not know the outcome of the write, a later
    /// revision that the machine's holder uses as its token, or the token of a later leader.
    HolderUnknown,
    /// The worker knows the token of a later leader. Without sharding, no other node uses later tokens.
    Superseded,
}

/// A node that holds a shard, and the epoch under which it does.
struct ShardHolder {
    node: String,
    epoch: u64,
}

/// The commands for a machine that were last sent to its holder.
#[derive(Debug)]
struct SentCommands {
    /// The worker incarnation that the commands are meant for.
    incarnation: u64,
    commands: Vec<WorkerCommand>,
}

/// Another node that may hold shards, as known from its status messages.
#[derive(Debug, Default)]
struct Peer {
    last_heard_at: Duration,
    /// Identifies one run of the node's process; it changes with every restart.
    boot_id: u64,
    zone: String,
    /// Whether the node reads the shard records.
    sees_records: bool,
    /// The id of the node's stream of status messages. The numbers of machines are only valid within one
    /// stream.
    stream: u64,
    /// The machines by their numbers in that stream.
    numbered_machines: NumberedMachines,
    /// Machines whose commands may have changed since they were last sent.
    commands_due: BTreeSet<MachineName>,
    /// The commands that were last sent for each machine.
    sent: HashMap<MachineName, SentCommands>,
    /// Shards that the node has begun to hold, and for whose machines it has not been sent the latest
    /// heartbeats yet.
    newly_held: BTreeSet<ShardId>,
    /// Whether a shard of the node was assigned to another node and the node is still to be told. It may
    /// not have read the new record yet.
    shard_taken: bool,
    /// Machines that the cloud has released, of which the node is still to be told.
    removed: BTreeSet<MachineName>,
    /// The sequence number of the node's latest message.
    latest_sequence: u64,
    send_in_flight: bool,
    /// No message is sent to the node before this time.
    retry_at: Duration,
}

/// The leader's sharding state, which exists only if machines are divided into shards.
#[derive(Debug)]
pub struct LeaderShards {
    registry: ShardRegistry,
    /// The other nodes that have sent a status in this term, by name.
    peers: BTreeMap<String, Peer>,
    /// Rejects repeated and reordered status messages.
    sequence_guard: SequenceGuard,
    /// The sequence number of the latest message to a holder.
    sequence: u64,
    /// The number of status messages and machine updates that were refused.
    refused: u64,
    next_write_at: Duration,
    next_refresh_at: Duration,
}

impl LeaderShards {
    pub(super) fn new(settings: &Settings, token: u64, now: Duration) -> Self {
        Self {
            registry: ShardRegistry::new(token, &settings.host, settings.sharding.clone()),
            peers: BTreeMap::new(),
            sequence_guard: SequenceGuard::default(),
            // Higher than every sequence number that this process used in an earlier term, since a process
            // sends fewer than one message per microsecond.
            sequence: now.as_micros() as u64,
            refused: 0,
            next_write_at: now,
            next_refresh_at: now,
        }
    }
}

impl Leader {
    /// Returns the shard of a machine, or `None` if machines are not sharded or its zone is not known.
    fn shard_of(&self, machine: &Machine) -> Option<ShardId> {
        let shards = self.shards.as_ref().filter(|_| !machine.pool.zone.is_empty())?;
        Some(shards.registry.shard_of(&machine.pool.zone, &machine.name))
    }

    /// Returns whether the leader sends commands to the machine's worker itself.
    pub(in crate::leader) fn is_own_machine(&self, machine: &Machine) -> bool {
        self.holder_of(machine).is_none()
    }

    /// Returns the node that answers the machine's worker, if it is not the leader.
    fn holder_of(&self, machine: &Machine) -> Option<ShardHolder> {
        self.other_holder(&self.shard_of(machine)?)
    }

    /// Returns the holder of a shard, if it is not the leader. This is the holder named in this term or,
    /// if there is none, the holder of a former term if it has sent a status to this leader.
    fn other_holder(&self, shard: &ShardId) -> Option<ShardHolder> {
        let shards = self.shards.as_ref()?;
        let own = self.settings.host.as_str();
        if let Some((holder, epoch)) = shards.registry.holder(shard) {
            return (holder != own).then(|| ShardHolder { node: holder.to_owned(), epoch });
        }
        let (holder, epoch) = shards.registry.former_holder(shard)?;
        (holder != own && shards.peers.contains_key(holder))
            .then(|| ShardHolder { node: holder.to_owned(), epoch })
    }

    /// Returns the token under which this leader sends commands for a machine: the epoch of the machine's
    /// shard if the leader holds it, otherwise the leader's fencing token.
    pub(in crate::leader) fn token_for(&self, name: &MachineName) -> u64 {
        let machine = self.fleet.machines.get(name);
        let shard = machine.and_then(|machine| self.shard_of(machine));
        let held = shard.and_then(|shard| self.shards.as_ref()?.registry.holder(&shard));
        held.filter(|(holder, _)| *holder == self.settings.host).map_or(self.token, |(_, epoch)| epoch)
    }

    /// Returns the base token under which the machine's worker is commanded in this term: the epoch of its
    /// shard, or this leader's token while no holder is named.
    pub fn base_token(&self, heartbeat: &Heartbeat) -> u64 {
        self.named_epoch(heartbeat).unwrap_or(self.token)
    }

    /// Returns the epoch of the machine's shard if its holder was named in this term.
    fn named_epoch(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let shards = self.shards.as_ref()?;
        let shard = shards.registry.shard_of(&heartbeat.zone, &heartbeat.machine);
        shards.registry.holder(&shard).map(|(_, epoch)| epoch)
    }

    /// Returns the highest base token of this term such that the worker refuses all commands under lower
    /// ones, or `None` if the worker has seen no token of this term. A token between two bases may have
    /// been used by the holder under the lower base, which may use it again.
    pub(in crate::leader) fn fencing_base(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let epoch = self.named_epoch(heartbeat).filter(|epoch| heartbeat.token >= *epoch);
        epoch.or((heartbeat.token >= self.token).then_some(self.token))
    }

    /// Returns which node answers a heartbeat.
    pub fn route(&self, heartbeat: &Heartbeat) -> LeaderRoute {
        let Some(shards) = &self.shards else {
            return if heartbeat.token <= self.token { LeaderRoute::Own } else { LeaderRoute::Superseded };
        };
        if heartbeat.token > shards.registry.highest_epoch() {
            return LeaderRoute::HolderUnknown;
        }
        let shard = shards.registry.shard_of(&heartbeat.zone, &heartbeat.machine);
        match self.other_holder(&shard) {
            Some(ShardHolder { node, epoch }) => LeaderRoute::Holder { host: node, epoch },
            None => LeaderRoute::Own,
        }
    }

    /// Applies the shard records that this node has read. `read_at` is when the latest successful read of
    /// all records, or watch for changes, was sent.
    pub fn apply_shard_records(&mut self, table: &ShardTable, read_at: Option<Duration>, now: Duration) {
        if let Some(shards) = &mut self.shards {
            shards.registry.apply_records(table, read_at, now);
        }
    }

    /// Takes over what this node knew of a machine when it held the machine's shard, before it became the
    /// leader.
    pub fn take_over_machine(&mut self, times: StepTime, machine: &Machine, effects: &mut EffectSink) {
        let Some(heartbeat) = &machine.last_heartbeat else { return };
        self.observe_machine(times, heartbeat, false, effects);
        self.apply_confirmation(&heartbeat.machine, machine.confirmed, machine.heartbeat_times.last_heard_at);
        if let Some(own) = self.fleet.machines.get_mut(&heartbeat.machine) {
            own.is_relayed = machine.is_relayed;
        }
    }

    /// Marks a machine as confirmed, with its last heartbeat at `heard_at`, if the holder of its shard has
    /// confirmed it.
    fn apply_confirmation(&mut self, name: &MachineName, confirmed: bool, heard_at: Duration) {
        let Some(machine) = self.fleet.machines.get_mut(name).filter(|_| confirmed) else { return };
        if !std::mem::replace(&mut machine.confirmed, true) {
            self.placement.request_pass();
        }
        machine.heartbeat_times.last_heard_at = machine.heartbeat_times.last_heard_at.max(heard_at);
        machine.heartbeat_times.last_direct_at = machine.heartbeat_times.last_direct_at.max(heard_at);
        machine.is_relayed = false;
    }

    /// Returns the shards as shown in the operators' view: holders, epochs, and what a move waits for.
    pub(in crate::leader) fn shards_view(&self, now: Duration) -> serde_json::Value {
        let Some(shards) = &self.shards else { return serde_json::Value::Null };
        let input = self.registry_input(now);
        let rows: Vec<serde_json::Value> = shards
            .registry
            .named_shards()
            .map(|(shard, state)| {
                serde_json::json!({"shard": shard.to_string(), "state": state.to_string(),
                    "holder": state.holder(), "epoch": state.epoch(), "next": state.next_holder(),
                    "waitsFor": shards.registry.waits_for(shard),
                    "machines": input.machines.get(shard).copied().unwrap_or(0)})
            })
            .collect();
        let peers: Vec<serde_json::Value> = shards
            .peers
            .iter()
            .map(|(host, peer)| {
                serde_json::json!({"host": host, "zone": peer.zone, "seesRecords": peer.sees_records,
                    "heardS": now.saturating_sub(peer.last_heard_at).as_secs_f64(),
                    "commandsDue": peer.commands_due.len()})
            })
            .collect();
        serde_json::json!({"shards": rows, "controllers": peers, "moves": shards.registry.moves(),
            "refused": shards.refused})
    }
}
