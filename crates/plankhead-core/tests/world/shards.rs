//! Messages between nodes about shards, which may be lost, late or refused, and checks of shard
//! records.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::requests::PendingRequest;
use super::script::{Fault, Trigger};
use super::worker::Worker;
use super::{fencing, World};
use plankhead_core::protocol::{CallId, Effect, Event, MachineName, Response};
use plankhead_core::shards::messages::{Delivery, ShardMessage};
use plankhead_sharding::sequence::MessageStamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time after which the sender gives up a message without a response.
const MESSAGE_TIMEOUT: Duration = secs(1);

/// A node that takes part in the latest shard move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardParty {
    OldHolder,
    NextHolder,
}

fn node_index(name: &str) -> usize {
    name.trim_start_matches("plank-").parse().unwrap()
}

impl World {
    /// Sends a message to another node, and reports its outcome to the sender.
    pub(super) fn send_shard_message(
        &mut self,
        (node, boot, call): (usize, u64, CallId),
        to: &str,
        message: ShardMessage,
    ) {
        let other = node_index(to);
        self.shard_messages += 1;
        if let ShardMessage::HolderStatus(status) = &message {
            self.latest_stamps.insert(node, status.stamp);
        }
        let outcome = |delivery| SimEvent::DeliverToNode {
            node,
            boot,
            event: Event::ShardMessageDelivery { call, delivery },
        };
        let peers_cut_until = self.peers_cut_until[node].max(self.peers_cut_until[other]);
        let open =
            self.now >= self.node_cut_until[other].max(peers_cut_until) && self.peer_reachable(node, other);
        if !open {
            return self.schedule_in(MESSAGE_TIMEOUT, outcome(Delivery::NoResponse));
        }
        let Some((peer_boot, _)) = &self.nodes[other] else {
            return self.schedule_in(ms(4), outcome(Delivery::NoResponse));
        };
        let peer_boot = *peer_boot;
        if self.runs_old_version[other] {
            return self.schedule_in(ms(4), outcome(Delivery::Unsupported));
        }
        let faults = self.faults;
        if faults.delayed_commands > 0.0 && self.chance(faults.delayed_commands) {
            let late = self.random_ms(1000, 9000);
            self.deliver_shard_message_late(late, to, message);
            return self.schedule_in(MESSAGE_TIMEOUT, outcome(Delivery::NoResponse));
        }
        let delay = if self.chance(faults.lost_replies) { self.random_ms(200, 900) } else { ms(2) };
        self.last_request += 1;
        let request = self.last_request;
        self.pending_requests
            .insert((other, peer_boot, request), (self.now, PendingRequest::Shard { node, boot, call }));
        let event = Event::ShardMessage { request, message: Ok(message) };
        self.schedule_in(delay, SimEvent::DeliverToNode { node: other, boot: peer_boot, event });
        let again = Box::new(outcome(Delivery::NoResponse));
        self.schedule_in(
            MESSAGE_TIMEOUT,
            SimEvent::RetryUnanswered { node: other, boot: peer_boot, request, again },
        );
    }

    /// Delivers a message after its sender has given it up.
    pub(super) fn deliver_shard_message_late(&mut self, late: Duration, to: &str, message: ShardMessage) {
        let other = node_index(to);
        let Some((boot, _)) = &self.nodes[other] else { return };
        let boot = *boot;
        self.last_request += 1;
        let event = Event::ShardMessage { request: self.last_request, message: Ok(message) };
        self.schedule_in(late, SimEvent::DeliverToNode { node: other, boot, event });
    }

    pub(super) fn handle_shard_response(
        &mut self,
        (node, boot, call): (usize, u64, CallId),
        response: Response,
    ) {
        let Response::ShardMessageDelivery(delivery) = response else {
            panic!("unexpected response to a message about shards: {response:?}")
        };
        self.schedule_in(
            ms(2),
            SimEvent::DeliverToNode { node, boot, event: Event::ShardMessageDelivery { call, delivery } },
        );
    }

    /// Returns the holder and the epoch of each shard, according to the stored records.
    pub fn holders(&self) -> BTreeMap<String, (usize, u64)> {
        let rows = self.kv.rows("shard/");
        let holder = |(key, value, revision): (String, String, u64)| {
            let record = plankhead_sharding::record::ShardRecord::decode(&value).unwrap();
            (key, (node_index(&record.holder), record.epoch(revision)))
        };
        rows.into_iter().map(holder).collect()
    }
}

impl World {
    pub(super) fn fault_move_party(&mut self, party: ShardParty, fault: Fault) {
        let Some((old, next)) = self.latest_move else { return };
        self.apply_fault(if party == ShardParty::OldHolder { old } else { next }, fault);
    }

    /// Returns the machines of the shards that a node holds, according to the stored records.
    pub fn machines_held_by(&self, node: usize) -> BTreeSet<MachineName> {
        let holders = self.holders();
        let shards = plankhead_sharding::settings::Settings::default().shards_per_zone;
        let held = |worker: &&Worker| {
            let shard = plankhead_sharding::shard::ShardId::of(&worker.zone, &worker.name, shards);
            holders.get(&shard.key()).is_some_and(|(holder, _)| *holder == node)
        };
        self.workers.values().filter(held).map(|worker| worker.name.clone()).collect()
    }

    /// Returns the fencing token of the leader.
    pub fn leader_token(&self) -> u64 {
        self.kv.mod_revision("lead").unwrap()
    }

    /// Returns the stamp of the latest message that a node sent as a holder.
    pub fn latest_stamp(&self, node: usize) -> MessageStamp {
        self.latest_stamps[&node]
    }

    pub fn latest_sequence(&self, node: usize) -> u64 {
        self.latest_stamp(node).sequence
    }

    /// Delivers a message to a node, and returns the outcome and the effects of the node other than
    /// responses.
    pub fn deliver_shard_message(&mut self, node: usize, message: ShardMessage) -> (Delivery, Vec<Effect>) {
        let times = self.clock_times(node);
        self.last_request += 1;
        let request = self.last_request;
        let (_, core) = self.nodes[node].as_mut().unwrap();
        let effects = core.step(times, vec![Event::ShardMessage { request, message: Ok(message) }]);
        let response = effects.iter().find_map(|effect| match effect {
            Effect::Respond { request: of, response: Response::ShardMessageDelivery(delivery) }
                if *of == request =>
            {
                Some(*delivery)
            }
            _ => None,
        });
        let rest = effects.into_iter().filter(|effect| !matches!(effect, Effect::Respond { .. }));
        (response.unwrap(), rest.collect())
    }

    /// Checks that only one process sends a machine commands under the same token.
    pub(super) fn check_command_source(&mut self, actor: fencing::Actor, machine: MachineName, token: u64) {
        let start = (actor.node, actor.boot);
        let first = *self.commanded_by.entry((machine.clone(), token)).or_insert(start);
        assert_eq!(first, start, "two processes sent {machine} commands under token {token}");
    }

    /// Handles a stored shard record, which only the holder of the leader's lease may write.
    pub(super) fn shard_record_written(&mut self, key: &str, value: &str) {
        let record = plankhead_sharding::record::ShardRecord::decode(value).unwrap();
        assert_eq!(self.kv.mod_revision("lead"), Some(record.term), "{key} was written without the lease");
        if let Some(moving) = &record.moving {
            self.latest_move = Some((node_index(&record.holder), node_index(&moving.to)));
        }
        let before = self.shard_holders.insert(key.to_owned(), record.holder.clone());
        self.shard_moves += u32::from(before.is_some_and(|before| before != record.holder));
        if record.moving.is_none() {
            self.deliver_kept_commands();
        }
        self.trigger(if record.moving.is_some() { Trigger::MoveStarted } else { Trigger::HolderAssigned });
    }
}
