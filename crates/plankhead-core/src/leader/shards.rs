//! The leader's side of divided machines: it names the holders of shards, takes in what
//! they tell, and has them pass its commands on.

use super::*;
use crate::shard_messages::{
    Delivery, HolderReport, LeaderOrders, MachineNews, MachineOrders, ShardMessage, MAX_MACHINES, MAX_TASKS,
};
use plankhead_sharding::alive::Names;
use plankhead_sharding::balance::Candidate;
use plankhead_sharding::registry::{Named, Reason, RecordWrite, Registry, Surroundings, WriteOutcome};
use plankhead_sharding::sequence::{Admission, SequenceGuard, Stamp};
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::ShardTable;

/// Until commands are repeated that did not arrive.
const RETRY: Duration = Duration::from_millis(100);
/// How often machines are looked through for commands that nothing else brings up, such as
/// acknowledgements of ends that have become durable.
const REFRESH: Duration = Duration::from_millis(500);
/// Pause after a write that was not carried out.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Who answers the report of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderRoute {
    /// The leader itself.
    Own,
    /// The holder of the machine's shard.
    Holder { host: String, epoch: u64 },
    /// Perhaps a holder whose record this leader has not seen yet.
    Doubt,
    /// The worker knows a later leader's token.
    Superseded,
}

/// A controller that may hold shards, as its messages tell.
#[derive(Debug, Default)]
struct Peer {
    heard: Duration,
    zone: String,
    sees_records: bool,
    stream: u64,
    names: Names,
    /// Machines whose commands may have changed.
    due: BTreeSet<HostName>,
    /// What it has been told last of each machine: in which session, and which commands.
    sent: HashMap<HostName, (u64, Vec<Order>)>,
    /// Shards that it holds only now: it is told what is known of their machines.
    fresh: BTreeSet<ShardId>,
    /// A shard was taken from it, and it may not have read so.
    replaced: bool,
    /// Machines that were given back since.
    gone: BTreeSet<HostName>,
    /// The number of its latest message.
    latest: u64,
    sending: bool,
    retry: Duration,
}

/// What a message told a holder, to be told again if it did not arrive.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ToldHolder {
    machines: Vec<HostName>,
    fresh: BTreeSet<ShardId>,
    gone: Vec<HostName>,
    replaced: bool,
}

/// What a leader that divides machines has beside the rest.
#[derive(Debug)]
pub struct LeaderShards {
    registry: Registry,
    peers: BTreeMap<String, Peer>,
    guard: SequenceGuard,
    sequence: u64,
    refused: u64,
    write_due: Duration,
    refresh_due: Duration,
}

impl LeaderShards {
    pub(super) fn new(settings: &Settings, token: u64, now: Duration) -> Self {
        Self {
            registry: Registry::new(token, &settings.host, settings.sharding.clone()),
            peers: BTreeMap::new(),
            guard: SequenceGuard::default(),
            // Above what this process has sent in a former term.
            sequence: now.as_micros() as u64,
            refused: 0,
            write_due: now,
            refresh_due: now,
        }
    }
}

impl Leader {
    fn shard_of(&self, machine: &Machine) -> Option<ShardId> {
        let shards = self.shards.as_ref().filter(|_| !machine.pool.zone.is_empty())?;
        Some(shards.registry.shard_of(&machine.pool.zone, &machine.name))
    }

    /// Whether this leader tells the machine's worker itself.
    pub(super) fn commands(&self, machine: &Machine) -> bool {
        self.holder_of(machine).is_none()
    }

    /// The controller that answers the machine's worker, if it is not the leader.
    fn holder_of(&self, machine: &Machine) -> Option<(String, u64)> {
        self.other_holder(&self.shard_of(machine)?)
    }

    /// The holder of a shard, if it is not the leader: the one named in this term, else the
    /// one of a former term while it is heard.
    fn other_holder(&self, shard: &ShardId) -> Option<(String, u64)> {
        let shards = self.shards.as_ref()?;
        let own = self.settings.host.as_str();
        if let Some((holder, epoch)) = shards.registry.holder(shard) {
            return (holder != own).then(|| (holder.to_owned(), epoch));
        }
        let (holder, epoch) = shards.registry.former_holder(shard)?;
        (holder != own && shards.peers.contains_key(holder)).then(|| (holder.to_owned(), epoch))
    }

    /// The fencing token of what this leader tells a machine itself.
    pub(super) fn token_for(&self, host: &HostName) -> u64 {
        let machine = self.fleet.machines.get(host);
        let shard = machine.and_then(|machine| self.shard_of(machine));
        let held = shard.and_then(|shard| self.shards.as_ref()?.registry.holder(&shard));
        held.filter(|(holder, _)| *holder == self.settings.host).map_or(self.token, |(_, epoch)| epoch)
    }

    /// Who answers a report.
    pub fn route(&self, report: &Report) -> LeaderRoute {
        let Some(shards) = &self.shards else {
            return if report.token <= self.token { LeaderRoute::Own } else { LeaderRoute::Superseded };
        };
        if report.token > shards.registry.highest_epoch() {
            let doubt = shards.registry.is_in_doubt();
            return if doubt { LeaderRoute::Doubt } else { LeaderRoute::Superseded };
        }
        let shard = shards.registry.shard_of(&report.zone, &report.host);
        match self.other_holder(&shard) {
            Some((host, epoch)) => LeaderRoute::Holder { host, epoch },
            None => LeaderRoute::Own,
        }
    }

    /// Takes in the records as this node has read them.
    pub fn learn_records(&mut self, table: &ShardTable, seen: Option<Duration>, now: Duration) {
        if let Some(shards) = &mut self.shards {
            shards.registry.learn(table, seen, now);
        }
    }

    /// What this node knew of a machine as its shard's holder, before it led.
    pub fn inherit(&mut self, times: Times, machine: &Machine, out: &mut Out) {
        let Some(report) = &machine.report else { return };
        self.hear(times, report, false, out);
        self.vouch(&report.host, machine.proven, machine.heard);
    }

    /// A holder of the machine's shard has seen whether it is there, and when it heard it.
    fn vouch(&mut self, host: &HostName, proven: bool, at: Duration) {
        let Some(machine) = self.fleet.machines.get_mut(host).filter(|_| proven) else { return };
        self.dirty |= !std::mem::replace(&mut machine.proven, true);
        machine.heard = machine.heard.max(at);
        machine.direct = machine.direct.max(at);
        machine.relayed = false;
    }

    // ----- what holders tell -----

    /// Takes in a holder's message, or refuses it.
    pub fn holder_report(&mut self, times: Times, message: HolderReport, out: &mut Out) -> Delivery {
        let now = times.now;
        let sibling = self.settings.siblings.contains(&message.host);
        let Some(shards) = self.shards.as_mut() else { return Delivery::Unsupported };
        let meant = sibling && message.term == self.token;
        let admitted = if meant { shards.guard.admit(&message.host, message.stamp).ok() } else { None };
        let Some(admission) = admitted else {
            shards.refused += 1;
            return Delivery::NotTaken;
        };
        let peer = shards.peers.entry(message.host.clone()).or_default();
        peer.heard = now;
        peer.latest = message.stamp.sequence;
        peer.zone = message.zone;
        peer.sees_records = message.sees_records;
        let restarted = admission == Admission::OtherStart;
        let other_stream = restarted || peer.stream != message.stream;
        if other_stream {
            peer.stream = message.stream;
            peer.names = Names::default();
        }
        if restarted {
            // A process that has begun anew knows nothing of what it was told.
            peer.due.extend(std::mem::take(&mut peer.sent).into_keys());
        }
        for news in &message.news {
            peer.names.learn(news.number, news.report.host.clone());
        }
        let alive: Vec<HostName> = peer.names.of(&message.alive).cloned().collect();
        for held in message.shards.iter().filter(|held| held.released) {
            shards.registry.released(&held.shard, &message.host, held.epoch);
        }
        self.reached |= !message.news.is_empty() || !alive.is_empty();
        let mut taken = true;
        for news in message.news {
            taken &= self.machine_news(times, &message.host, news, out);
        }
        let heard = now.saturating_sub(message.alive_age);
        for host in alive {
            if self.is_held_by(&host, &message.host) {
                self.fleet.heard_by_holder(&host, heard);
            }
        }
        match (taken, other_stream && !message.first) {
            (false, _) => Delivery::NotTaken,
            (true, true) => Delivery::TellAll,
            (true, false) => Delivery::Taken,
        }
    }

    fn is_held_by(&self, host: &HostName, holder: &str) -> bool {
        let machine = self.fleet.machines.get(host);
        machine.and_then(|machine| self.holder_of(machine)).is_some_and(|(of, _)| of == holder)
    }

    /// What a holder tells of one of its machines. False: it is somebody else's machine by
    /// now, or this leader does not know yet that the record was written, in which case it
    /// wants to be told again.
    fn machine_news(&mut self, times: Times, holder: &str, news: MachineNews, out: &mut Out) -> bool {
        let report = &news.report;
        let shards = self.shards.as_mut();
        let Some(shard) = shards.map(|shards| shards.registry.shard_of(&report.zone, &report.host)) else {
            return false;
        };
        if self.other_holder(&shard).is_none_or(|(of, _)| of != holder) {
            if let Some(shards) = &mut self.shards {
                shards.refused += 1;
            }
            return false;
        }
        self.hear(times, report, false, out);
        self.vouch(&report.host, news.proven, times.now.saturating_sub(news.age));
        if let Some(machine) = self.fleet.machines.get_mut(&report.host) {
            machine.unanswered = news.unanswered;
            if news.deaf {
                machine.leaving.get_or_insert(Leaving::Deaf);
            }
        }
        self.order_due(&report.host);
        true
    }

    // ----- what they are told -----

    /// The commands for a machine may have changed: its holder is told.
    pub(super) fn order_due(&mut self, host: &HostName) {
        let machine = self.fleet.machines.get(host);
        let holder = machine.and_then(|machine| self.holder_of(machine));
        let Some((holder, _)) = holder else { return };
        if let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(&holder)) {
            peer.due.insert(host.clone());
        }
    }

    /// Machines that list ended attempts, or were placed on and do not list it, have commands
    /// that nothing else may bring up.
    fn refresh_orders(&mut self, now: Duration) {
        let Some(shards) = self.shards.as_mut().filter(|shards| now >= shards.refresh_due) else { return };
        shards.refresh_due = now + REFRESH;
        let waits = |machine: &&Machine| {
            let report = machine.report.as_ref();
            let ended = report.is_some_and(|r| r.tasks.iter().any(|l| matches!(l.seen, Seen::Ended(_))));
            ended || self.ledger.on_host(&machine.name).next().is_some()
        };
        let hosts: Vec<HostName> =
            self.fleet.machines.values().filter(waits).map(|machine| machine.name.clone()).collect();
        hosts.iter().for_each(|host| self.order_due(host));
    }

    /// Sends each holder what has changed for its machines.
    fn flush_orders(&mut self, now: Duration, requests: &RequestHandler, out: &mut Out) {
        let Some(shards) = &self.shards else { return };
        let ready = |(_, peer): &(&String, &Peer)| {
            let due =
                !(peer.due.is_empty() && peer.fresh.is_empty() && peer.gone.is_empty() && !peer.replaced);
            due && !peer.sending && now >= peer.retry
        };
        let ready: Vec<String> = shards.peers.iter().filter(ready).map(|(host, _)| host.clone()).collect();
        for host in ready {
            self.send_orders(now, &host, requests, out);
        }
    }

    fn send_orders(&mut self, now: Duration, to: &str, requests: &RequestHandler, out: &mut Out) {
        let Some(shards) = &self.shards else { return };
        let held: Vec<(ShardId, u64)> = shards
            .registry
            .current()
            .filter(|(_, state)| state.holder() == Some(to))
            .map(|(shard, state)| (shard.clone(), state.epoch()))
            .collect();
        let Some(peer) = shards.peers.get(to) else { return };
        let due: Vec<HostName> = peer.due.iter().take(MAX_MACHINES).cloned().collect();
        let place = |host: &HostName| {
            let shard = self.fleet.machines.get(host).and_then(|machine| self.shard_of(machine))?;
            held.iter().position(|(of, _)| *of == shard)
        };
        let mut machines: Vec<MachineOrders> = Vec::new();
        let (mut commands, mut taken) = (0, 0);
        for host in &due {
            if commands > MAX_TASKS {
                break;
            }
            taken += 1;
            // Those of a shard that is not renewed yet wait for its record.
            let Some(shard) = place(host) else { continue };
            let Some(shift) = self.fleet.machines.get(host).and_then(Machine::shift) else { continue };
            let orders = self.orders(now, host, requests);
            let last = peer.sent.get(host);
            let same = last.map_or(orders.is_empty(), |(of, sent)| *of == shift && *sent == orders);
            commands += orders.len();
            if !same {
                machines.push(MachineOrders { host: host.clone(), shard, shift, orders });
            }
        }
        let due = &due[..taken];
        let fresh: BTreeSet<ShardId> =
            peer.fresh.iter().filter(|shard| held.iter().any(|(of, _)| of == *shard)).cloned().collect();
        let snapshot = self.snapshot(&fresh);
        let latest_epoch = shards.registry.highest_epoch();
        for MachineOrders { orders, shard, .. } in &machines {
            self.note_offers(orders, held[*shard].1);
        }
        self.note_first_starts(now, &machines, out);
        let Some(shards) = &mut self.shards else { return };
        shards.sequence += 1;
        let sequence = shards.sequence;
        let Some(peer) = shards.peers.get_mut(to) else { return };
        peer.due.retain(|host| !due.contains(host));
        peer.fresh.retain(|shard| !fresh.contains(shard));
        let gone: Vec<HostName> = std::mem::take(&mut peer.gone).into_iter().collect();
        let replaced = std::mem::take(&mut peer.replaced);
        if machines.is_empty() && snapshot.is_empty() && gone.is_empty() && !replaced {
            return;
        }
        peer.sending = true;
        for MachineOrders { host, shift, orders, .. } in &machines {
            peer.sent.insert(host.clone(), (*shift, orders.clone()));
        }
        let told = machines.iter().map(|machine| machine.host.clone()).collect();
        let message = LeaderOrders {
            host: self.settings.host.clone(),
            stamp: Stamp { boot: self.settings.boot, sequence },
            answers: peer.latest,
            latest_epoch,
            token: self.token,
            shards: held,
            machines,
            gone: gone.clone(),
            snapshot,
        };
        let told = ToldHolder { machines: told, fresh, gone, replaced };
        let call = LeaderCall::ShardOrders { to: to.to_owned(), told };
        let message = ShardMessage::Orders(Box::new(message));
        out.shard_message(Purpose::Leader(self.token, call), to.to_owned(), message);
    }

    fn note_first_starts(&mut self, now: Duration, machines: &[MachineOrders], out: &mut Out) {
        let run = |machine: &MachineOrders| machine.orders.iter().any(|o| matches!(o, Order::Run { .. }));
        if machines.iter().any(run) && !std::mem::replace(&mut self.started, true) {
            let after = now.saturating_sub(self.began).as_millis();
            out.log(Level::Info, format!("first starts {after} ms after it leads"));
        }
    }

    /// The newest reports of the machines of these shards.
    fn snapshot(&self, shards: &BTreeSet<ShardId>) -> Vec<Report> {
        if shards.is_empty() {
            return Vec::new();
        }
        let here = |machine: &&Machine| self.shard_of(machine).is_some_and(|shard| shards.contains(&shard));
        let machines = self.fleet.machines.values().filter(here);
        let mut tasks = 0;
        let few = |report: &Report| {
            tasks += report.tasks.len();
            tasks <= MAX_TASKS
        };
        let reports = machines.filter_map(|machine| machine.report.clone());
        reports.take(MAX_MACHINES).take_while(few).collect()
    }

    /// What became of a message to a holder.
    pub fn orders_told(&mut self, now: Duration, to: &str, told: ToldHolder, delivery: Delivery) {
        let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(to)) else { return };
        peer.sending = false;
        peer.retry = now + self.settings.message_pause();
        if delivery != Delivery::Taken {
            peer.retry = now + RETRY;
            for host in told.machines {
                peer.sent.remove(&host);
                peer.due.insert(host);
            }
            peer.fresh.extend(told.fresh);
            peer.gone.extend(told.gone);
            peer.replaced |= told.replaced;
        }
    }

    /// The cloud has taken a machine back: whoever held it forgets it.
    pub(super) fn machine_gone(&mut self, host: &HostName) {
        for peer in self.shards.iter_mut().flat_map(|shards| shards.peers.values_mut()) {
            peer.due.remove(host);
            if peer.sent.remove(host).is_some() {
                peer.gone.insert(host.clone());
            }
        }
    }

    // ----- the records -----

    /// What the registry decides by.
    fn surroundings(&self, now: Duration) -> Surroundings {
        let settings = &self.settings.sharding;
        let mut around = Surroundings::default();
        let Some(shards) = &self.shards else { return around };
        let there =
            |peer: &&Peer| peer.sees_records && now.saturating_sub(peer.heard) < settings.holder_timeout;
        let own = (&self.settings.host, &self.settings.zone, settings.leader_capacity);
        let peers = shards.peers.iter().filter(|(_, peer)| there(peer));
        for (host, zone, capacity) in peers.map(|(host, peer)| (host, &peer.zone, 1.0)).chain([own]) {
            around.alive.insert(host.clone());
            if !settings.drained.contains(host) {
                let (host, zone) = (host.clone(), zone.clone());
                around.candidates.push(Candidate { host, zone, capacity });
            }
        }
        for machine in self.fleet.machines.values() {
            if let Some(shard) = self.shard_of(machine) {
                *around.machines.entry(shard).or_default() += 1;
            }
        }
        around.zones = self.fleet.rigs.values().flat_map(|rig| rig.zones.iter().cloned()).collect();
        around
    }

    /// Names holders where that is due, and tells them what has changed.
    pub(super) fn tick_shards(
        &mut self,
        now: Duration,
        firm: bool,
        requests: &RequestHandler,
        out: &mut Out,
    ) {
        let Some(shards) = &self.shards else { return };
        if firm && now >= shards.write_due {
            self.write_records(now, out);
        }
        self.refresh_orders(now);
        self.flush_orders(now, requests, out);
    }

    fn write_records(&mut self, now: Duration, out: &mut Out) {
        let most = self.settings.txn_ops.min(self.writes.available(now));
        let around = self.surroundings(now);
        let Some(shards) = &mut self.shards else { return };
        shards.write_due = shards.registry.next_due(now);
        if most == 0 {
            return;
        }
        let writes = shards.registry.next_writes(&around, most, now);
        if writes.is_empty() {
            return;
        }
        self.writes.take(now, writes.len());
        let condition = |write: &RecordWrite| Condition { key: write.shard.key(), stamp: write.revision };
        let conditions = [self.lead()].into_iter().chain(writes.iter().map(condition)).collect();
        let change = |write: &RecordWrite| {
            let key = write.shard.key();
            let value = write.record.as_ref().and_then(|record| serde_json::to_string(record).ok());
            match value {
                Some(value) => Change::Write { key, value, hold: None },
                None => Change::Drop { key },
            }
        };
        let changes = writes.iter().map(change).collect();
        let call = LeaderCall::WriteShards { writes, sent: now };
        self.state(call, StateOp::Txn { conditions, changes }, out);
    }

    /// What became of a write of records; false: somebody else leads.
    pub(super) fn shards_written(
        &mut self,
        now: Duration,
        (writes, sent): (Vec<RecordWrite>, Duration),
        reply: Result<StateReply, CallError>,
        out: &mut Out,
    ) -> bool {
        let outcome = match reply {
            Ok(StateReply::Committed { epoch }) => WriteOutcome::Committed { revision: epoch },
            Ok(StateReply::Conflict { failed }) if failed.iter().any(|key| key == election::KEY) => {
                return false;
            }
            Ok(_) | Err(CallError::Refused | CallError::Busy | CallError::TooLarge) => WriteOutcome::Failed,
            Err(CallError::Lost) => WriteOutcome::Lost,
        };
        let Some(shards) = &mut self.shards else { return true };
        let committed = matches!(outcome, WriteOutcome::Committed { .. });
        shards.write_due = if committed { now } else { now + WRITE_PAUSE };
        let named: Vec<Named> =
            writes.iter().filter_map(|write| shards.registry.written(write, outcome, sent, now)).collect();
        for named in named {
            self.named(now, named, out);
        }
        true
    }

    /// A shard has a holder from now on.
    fn named(&mut self, now: Duration, named: Named, out: &mut Out) {
        let Named { shard, from, to, epoch, reason } = named;
        let moved = from.as_ref() != Some(&to);
        if moved {
            let before = from.as_deref().unwrap_or("nobody");
            let text = format!("shard {shard} goes from {before} to {to} under {epoch} ({reason:?})");
            out.log(Level::Info, text);
        }
        let here = |machine: &&Machine| self.shard_of(machine).is_some_and(|of| of == shard);
        let hosts: Vec<HostName> =
            self.fleet.machines.values().filter(here).map(|machine| machine.name.clone()).collect();
        let own = to == self.settings.host;
        let Some(shards) = &mut self.shards else { return };
        for peer in shards.peers.values_mut() {
            for host in &hosts {
                peer.sent.remove(host);
                peer.due.remove(host);
            }
            peer.fresh.remove(&shard);
        }
        if let Some(peer) = from.as_ref().filter(|_| moved).and_then(|from| shards.peers.get_mut(from)) {
            peer.replaced = true;
        }
        if let Some(peer) = shards.peers.get_mut(&to).filter(|_| !own) {
            peer.due.extend(hosts.iter().cloned());
            if reason != Reason::Renewed {
                peer.fresh.insert(shard);
            }
        }
        for host in hosts {
            if moved {
                self.fleet.excuse(&host, now);
            }
            if own {
                self.tell(now, &host, out);
            }
        }
    }

    /// For the operators: shards, holders, epochs, and why a move waits.
    pub(super) fn shards_view(&self, now: Duration) -> serde_json::Value {
        let Some(shards) = &self.shards else { return serde_json::Value::Null };
        let around = self.surroundings(now);
        let rows: Vec<serde_json::Value> = shards
            .registry
            .current()
            .map(|(shard, state)| {
                serde_json::json!({"shard": shard.to_string(), "state": state.to_string(),
                    "holder": state.holder(), "epoch": state.epoch(), "next": state.next_holder(),
                    "waitsFor": shards.registry.waits_for(shard),
                    "machines": around.machines.get(shard).copied().unwrap_or(0)})
            })
            .collect();
        let peers: Vec<serde_json::Value> = shards
            .peers
            .iter()
            .map(|(host, peer)| {
                serde_json::json!({"host": host, "zone": peer.zone, "seesRecords": peer.sees_records,
                    "heardS": now.saturating_sub(peer.heard).as_secs_f64(), "commandsDue": peer.due.len()})
            })
            .collect();
        serde_json::json!({"shards": rows, "controllers": peers, "moves": shards.registry.moves(),
            "refused": shards.refused})
    }
}
