//! Messages between controllers about shards, as the network has them: lost, late, refused.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::requests::PendingQuestion;
use super::script::{Fault, Trigger};
use super::worker::Worker;
use super::{fencing, World};
use plankhead_core::protocol::{CallId, Effect, Event, MachineName, Response};
use plankhead_core::shards::messages::{Delivery, ShardMessage};
use plankhead_sharding::sequence::MessageStamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Until a message without an answer is given up.
const PATIENCE: Duration = secs(1);

/// A controller that has to do with the latest move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardParty {
    OldHolder,
    NextHolder,
}

fn node_of(name: &str) -> usize {
    name.trim_start_matches("plank-").parse().unwrap()
}

impl World {
    /// A node sends another one a message; what becomes of it comes back.
    pub(super) fn shard_message(
        &mut self,
        (node, boot, call): (usize, u64, CallId),
        to: &str,
        message: ShardMessage,
    ) {
        let other = node_of(to);
        self.shard_messages += 1;
        if let ShardMessage::HolderStatus(report) = &message {
            self.latest_stamps.insert(node, report.stamp);
        }
        let told = |delivery| SimEvent::DeliverToNode {
            node,
            boot,
            event: Event::ShardMessageDelivery { call, delivery },
        };
        let alone = self.alone_until[node].max(self.alone_until[other]);
        let open = self.now >= self.node_cut_until[other].max(alone) && self.peers_reach(node, other);
        if !open {
            return self.schedule_in(PATIENCE, told(Delivery::NoResponse));
        }
        let Some((peer_boot, _)) = &self.nodes[other] else {
            return self.schedule_in(ms(4), told(Delivery::NoResponse));
        };
        let peer_boot = *peer_boot;
        if self.runs_old_version[other] {
            return self.schedule_in(ms(4), told(Delivery::Unsupported));
        }
        let faults = self.faults;
        if faults.delayed_commands > 0.0 && self.chance(faults.delayed_commands) {
            let late = self.between(1000, 9000);
            self.late_shard_message(late, to, message);
            return self.schedule_in(PATIENCE, told(Delivery::NoResponse));
        }
        let way = if self.chance(faults.lost_replies) { self.between(200, 900) } else { ms(2) };
        self.last_request += 1;
        let request = self.last_request;
        self.questions
            .insert((other, peer_boot, request), (self.now, PendingQuestion::Shard { node, boot, call }));
        let event = Event::ShardMessage { request, message: Ok(message) };
        self.schedule_in(way, SimEvent::DeliverToNode { node: other, boot: peer_boot, event });
        let again = Box::new(told(Delivery::NoResponse));
        self.schedule_in(
            PATIENCE,
            SimEvent::RetryUnanswered { node: other, boot: peer_boot, request, again },
        );
    }

    /// A message arrives when its sender has long given it up.
    pub(super) fn late_shard_message(&mut self, late: Duration, to: &str, message: ShardMessage) {
        let other = node_of(to);
        let Some((boot, _)) = &self.nodes[other] else { return };
        let boot = *boot;
        self.last_request += 1;
        let event = Event::ShardMessage { request: self.last_request, message: Ok(message) };
        self.schedule_in(late, SimEvent::DeliverToNode { node: other, boot, event });
    }

    pub(super) fn shard_answered(&mut self, (node, boot, call): (usize, u64, CallId), answer: Response) {
        let Response::ShardMessageDelivery(delivery) = answer else {
            panic!("a message about shards gets {answer:?}")
        };
        self.schedule_in(
            ms(2),
            SimEvent::DeliverToNode { node, boot, event: Event::ShardMessageDelivery { call, delivery } },
        );
    }

    /// The holders of all shards, by the records, and their epochs.
    pub fn holders(&self) -> BTreeMap<String, (usize, u64)> {
        let rows = self.kv.rows("shard/");
        let holder = |(key, value, revision): (String, String, u64)| {
            let record = plankhead_sharding::record::ShardRecord::decode(&value).unwrap();
            (key, (node_of(&record.holder), record.epoch(revision)))
        };
        rows.into_iter().map(holder).collect()
    }
}

impl World {
    pub(super) fn blow_at_move(&mut self, whom: ShardParty, blow: Fault) {
        let Some((old, next)) = self.latest_move else { return };
        self.apply_fault(if whom == ShardParty::OldHolder { old } else { next }, blow);
    }

    /// The machines of the shards that a node holds, by the records.
    pub fn machines_held_by(&self, node: usize) -> BTreeSet<MachineName> {
        let holders = self.holders();
        let shards = plankhead_sharding::settings::Settings::default().shards_per_zone;
        let held = |worker: &&Worker| {
            let shard = plankhead_sharding::shard::ShardId::of(&worker.zone, &worker.name, shards);
            holders.get(&shard.key()).is_some_and(|(holder, _)| *holder == node)
        };
        self.workers.values().filter(held).map(|worker| worker.name.clone()).collect()
    }

    /// The token of the leader's lease.
    pub fn lease(&self) -> u64 {
        self.kv.stamp("lead").unwrap()
    }

    /// The stamp of the latest message that a node sent as a holder, and its number.
    pub fn latest_stamp(&self, node: usize) -> MessageStamp {
        self.latest_stamps[&node]
    }

    pub fn latest_report(&self, node: usize) -> u64 {
        self.latest_stamp(node).sequence
    }

    /// What a node does with a message that it gets from somewhere.
    pub fn deliver(&mut self, node: usize, message: ShardMessage) -> (Delivery, Vec<Effect>) {
        let times = self.times(node);
        self.last_request += 1;
        let request = self.last_request;
        let (_, core) = self.nodes[node].as_mut().unwrap();
        let effects = core.step(times, vec![Event::ShardMessage { request, message: Ok(message) }]);
        let answer = effects.iter().find_map(|effect| match effect {
            Effect::Respond { request: of, response: Response::ShardMessageDelivery(delivery) }
                if *of == request =>
            {
                Some(*delivery)
            }
            _ => None,
        });
        let rest = effects.into_iter().filter(|effect| !matches!(effect, Effect::Respond { .. }));
        (answer.unwrap(), rest.collect())
    }

    /// A process tells a machine something: under each token, only one ever does.
    pub(super) fn acts(&mut self, actor: fencing::Actor, machine: MachineName, token: u64) {
        let start = (actor.node, actor.boot);
        let first = *self.told_by.entry((machine.clone(), token)).or_insert(start);
        assert_eq!(first, start, "two processes tell {machine} something under {token}");
    }

    /// A record of a shard was written: by the holder of the lease alone.
    pub(super) fn record_written(&mut self, key: &str, value: &str) {
        let record = plankhead_sharding::record::ShardRecord::decode(value).unwrap();
        assert_eq!(self.kv.stamp("lead"), Some(record.term), "{key} was written without the lease");
        if let Some(moving) = &record.moving {
            self.latest_move = Some((node_of(&record.holder), node_of(&moving.to)));
        }
        let before = self.shard_holders.insert(key.to_owned(), record.holder.clone());
        self.shard_moves += u32::from(before.is_some_and(|before| before != record.holder));
        self.trigger(if record.moving.is_some() { Trigger::MoveBegun } else { Trigger::HolderNamed });
    }
}
