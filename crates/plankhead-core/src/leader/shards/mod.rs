//! The leader's side of sharding: it names the holders of shards, takes in what they
//! report, and has them pass its commands on.

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

/// The pause after a write that was not carried out.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Which node answers a machine's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderRoute {
    /// The leader itself.
    Own,
    /// The holder of the machine's shard.
    Holder {
        /// The node.
        host: String,
        /// The shard's epoch.
        epoch: u64,
    },
    /// Perhaps a holder whose record this leader has not seen yet.
    HolderUnknown,
    /// The worker knows a later leader's token.
    Superseded,
}

/// The node that holds a shard, under its epoch.
struct ShardHolder {
    node: String,
    epoch: u64,
}

/// The commands for a machine that its holder has.
#[derive(Debug)]
struct SentCommands {
    /// The worker's incarnation that they are meant for.
    incarnation: u64,
    commands: Vec<WorkerCommand>,
}

/// A controller that may hold shards, as its messages show.
#[derive(Debug, Default)]
struct Peer {
    last_heard_at: Duration,
    /// Tells one start of its process from another.
    boot_id: u64,
    zone: String,
    sees_records: bool,
    stream: u64,
    names: NumberedMachines,
    /// Machines whose commands may have changed.
    due: BTreeSet<MachineName>,
    /// The commands for each machine that were sent to it last.
    sent: HashMap<MachineName, SentCommands>,
    /// Shards that it holds only now: it is sent what is known of their machines.
    newly_held: BTreeSet<ShardId>,
    /// A shard was taken from it, and it may not have read so.
    shard_taken: bool,
    /// Machines that were released since.
    removed: BTreeSet<MachineName>,
    /// The number of its latest message.
    latest_sequence: u64,
    send_in_flight: bool,
    retry_at: Duration,
}

/// The state of a leader whose machines are divided into shards.
#[derive(Debug)]
pub struct LeaderShards {
    registry: ShardRegistry,
    peers: BTreeMap<String, Peer>,
    sequence_guard: SequenceGuard,
    sequence: u64,
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
            // Above what this process has sent in a former term.
            sequence: now.as_micros() as u64,
            refused: 0,
            next_write_at: now,
            next_refresh_at: now,
        }
    }
}

impl Leader {
    fn shard_of(&self, machine: &Machine) -> Option<ShardId> {
        let shards = self.shards.as_ref().filter(|_| !machine.pool.zone.is_empty())?;
        Some(shards.registry.shard_of(&machine.pool.zone, &machine.name))
    }

    /// Whether this leader commands the machine's worker itself.
    pub(in crate::leader) fn is_own_machine(&self, machine: &Machine) -> bool {
        self.holder_of(machine).is_none()
    }

    /// The controller that answers the machine's worker, if it is not the leader.
    fn holder_of(&self, machine: &Machine) -> Option<ShardHolder> {
        self.other_holder(&self.shard_of(machine)?)
    }

    /// The holder of a shard, if it is not the leader: the one named in this term, else the
    /// one of a former term while it is heard.
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

    /// The fencing token of this leader's own commands for a machine.
    pub(in crate::leader) fn token_for(&self, name: &MachineName) -> u64 {
        let machine = self.fleet.machines.get(name);
        let shard = machine.and_then(|machine| self.shard_of(machine));
        let held = shard.and_then(|shard| self.shards.as_ref()?.registry.holder(&shard));
        held.filter(|(holder, _)| *holder == self.settings.host).map_or(self.token, |(_, epoch)| epoch)
    }

    /// Which node answers a heartbeat.
    pub fn route(&self, heartbeat: &Heartbeat) -> LeaderRoute {
        let Some(shards) = &self.shards else {
            return if heartbeat.token <= self.token { LeaderRoute::Own } else { LeaderRoute::Superseded };
        };
        if heartbeat.token > shards.registry.highest_epoch() {
            let doubt = shards.registry.has_uncertain_writes();
            return if doubt { LeaderRoute::HolderUnknown } else { LeaderRoute::Superseded };
        }
        let shard = shards.registry.shard_of(&heartbeat.zone, &heartbeat.machine);
        match self.other_holder(&shard) {
            Some(ShardHolder { node, epoch }) => LeaderRoute::Holder { host: node, epoch },
            None => LeaderRoute::Own,
        }
    }

    /// Takes in the records as this node has read them; `seen`: as of when.
    pub fn apply_shard_records(&mut self, table: &ShardTable, seen: Option<Duration>, now: Duration) {
        if let Some(shards) = &mut self.shards {
            shards.registry.apply_records(table, seen, now);
        }
    }

    /// What this node knew of a machine as its shard's holder, before it led.
    pub fn take_over_machine(&mut self, times: StepTime, machine: &Machine, effects: &mut EffectSink) {
        let Some(heartbeat) = &machine.last_heartbeat else { return };
        self.observe_machine(times, heartbeat, false, effects);
        self.confirm_by_holder(&heartbeat.machine, machine.confirmed, machine.heartbeat_times.last_heard_at);
        if let Some(own) = self.fleet.machines.get_mut(&heartbeat.machine) {
            own.is_relayed = machine.is_relayed;
        }
    }

    /// The holder of the machine's shard has found whether it is there, and when it was heard.
    fn confirm_by_holder(&mut self, name: &MachineName, confirmed: bool, heard_at: Duration) {
        let Some(machine) = self.fleet.machines.get_mut(name).filter(|_| confirmed) else { return };
        if !std::mem::replace(&mut machine.confirmed, true) {
            self.placement.request_pass();
        }
        machine.heartbeat_times.last_heard_at = machine.heartbeat_times.last_heard_at.max(heard_at);
        machine.heartbeat_times.last_direct_at = machine.heartbeat_times.last_direct_at.max(heard_at);
        machine.is_relayed = false;
    }

    /// What operators see: shards, holders, epochs, and why a move waits.
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
                    "heardS": now.saturating_sub(peer.last_heard_at).as_secs_f64(), "commandsDue": peer.due.len()})
            })
            .collect();
        serde_json::json!({"shards": rows, "controllers": peers, "moves": shards.registry.moves(),
            "refused": shards.refused})
    }
}
