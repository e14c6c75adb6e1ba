//! The leader's side: the state of every shard, and which record is to be written next.
//!
//! Every write is conditional on the leader's key and on the record's revision, and names
//! what it is for. A write whose answer was lost leaves its shard in doubt until the records
//! were read again; in doubt the leader writes it once more under the revision that it
//! knows, which fails if the first one was carried out.

use crate::balance::{self, Candidate, ShardLoad, ShardLoads};
use crate::record::{PendingMove, ShardRecord};
use crate::settings::Settings;
use crate::shard::ShardId;
use crate::state::{ShardState, Transition};
use crate::table::ShardTable;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a new leader waits for the other controllers to be heard before it names holders
/// that no former leader has named.
const SETTLE: Duration = Duration::from_millis(1500);

/// Why a holder is named, or a move begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamingReason {
    /// Nobody held the shard.
    First,
    /// The same holder in a new leader's term.
    Renewed,
    /// A former leader's move is finished.
    Finished,
    Balance,
    /// The holder is to hold no shards.
    Drained,
    /// A move that operators have asked for at intervals.
    Rotation,
    /// The zone has fewer shards now.
    Surplus,
    /// The holder let the shard go.
    Released,
    /// The holder was asked to let the shard go, and has not said that it did.
    ReleaseTimedOut,
    /// The holder is silent, or gone.
    Silent,
    /// The holder's process has begun anew.
    Restarted,
    /// Whoever was to hold the shard next is gone: the holder keeps it.
    Undone,
}

/// A record to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    pub shard: ShardId,
    /// The revision that the record must have; 0: that there is none.
    pub revision: u64,
    /// `None`: the record goes, since the zone has fewer shards now.
    pub record: Option<ShardRecord>,
    /// Who holds the shard before.
    pub from: Option<String>,
    pub reason: NamingReason,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Committed {
        revision: u64,
    },
    /// Certainly not carried out.
    Failed,
    /// May have been carried out, or may be later.
    Lost,
}

/// A holder that was named, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderNamed {
    pub shard: ShardId,
    pub from: Option<String>,
    pub to: String,
    pub epoch: u64,
    pub reason: NamingReason,
}

#[derive(Debug, Clone, Default)]
struct TrackedShard {
    state: ShardState,
    /// The term under which the record was last written.
    term: u64,
    /// Which start of the holder's process was named.
    boot: u64,
    revision: u64,
    /// Since when it is in this state, by this leader's clock.
    since: Duration,
    writing: bool,
    /// A write's answer was lost at this time, and the records were not read since.
    doubt: Option<Duration>,
}

/// What the leader knows of the other controllers, and of the machines.
#[derive(Debug, Clone, Default)]
pub struct RegistryInput {
    /// Controllers that are heard and see the records, the leader's own among them, and which
    /// start of its process each of them is.
    pub live_nodes: BTreeMap<String, u64>,
    /// Those of them that may take shards.
    pub candidates: Vec<Candidate>,
    /// Machines by shard.
    pub machines: BTreeMap<ShardId, u32>,
    /// Zones that have machines, or may.
    pub zones: BTreeSet<String>,
}

impl RegistryInput {
    fn takes(&self, host: &str) -> bool {
        self.candidates.iter().any(|candidate| candidate.host == host)
    }
}

/// Every shard, as the holder of the leader's lease sees it.
#[derive(Debug)]
pub struct ShardRegistry {
    term: u64,
    own: String,
    settings: Settings,
    entries: BTreeMap<ShardId, TrackedShard>,
    /// When this leader first planned.
    began: Option<Duration>,
    next_move: Duration,
    next_rotation: Duration,
    moves: u64,
}

impl ShardRegistry {
    pub fn new(term: u64, own: &str, settings: Settings) -> Self {
        Self {
            term,
            own: own.into(),
            settings,
            entries: BTreeMap::new(),
            began: None,
            next_move: Duration::ZERO,
            next_rotation: Duration::ZERO,
            moves: 0,
        }
    }

    /// Takes in the records as they were read; `seen`: when that read was asked for.
    pub fn apply_records(&mut self, table: &ShardTable, seen: Option<Duration>, now: Duration) {
        for (shard, known) in table.iter() {
            let entry = self.entries.entry(shard.clone()).or_default();
            if known.revision <= entry.revision {
                continue;
            }
            let record = &known.record;
            let (holder, epoch) = (record.holder.clone(), known.epoch());
            entry.state = match &record.moving {
                Some(moving) => ShardState::Releasing { holder, epoch, to: moving.to.clone() },
                None => ShardState::Held { holder, epoch },
            };
            (entry.revision, entry.term, entry.since) = (known.revision, record.term, now);
            entry.boot = record.boot;
        }
        for entry in self.entries.values_mut() {
            if entry.doubt.is_some_and(|lost| seen.is_some_and(|seen| seen > lost)) {
                entry.doubt = None;
            }
        }
    }

    /// Whether some record may have been written that this leader does not know of: a token
    /// above those that it knows may be a shard's.
    pub fn has_uncertain_writes(&self) -> bool {
        self.entries.values().any(|entry| entry.writing || entry.doubt.is_some())
    }

    /// The highest token of this term.
    pub fn highest_epoch(&self) -> u64 {
        let current = self.entries.values().filter(|entry| entry.term == self.term);
        current.map(|entry| entry.revision).fold(self.term, u64::max)
    }

    /// The shard of a machine by this leader's settings.
    pub fn shard_of(&self, zone: &str, machine: &str) -> ShardId {
        ShardId::of(zone, machine, self.settings.shards_per_zone)
    }

    pub fn state(&self, shard: &ShardId) -> Option<&ShardState> {
        self.entries.get(shard).map(|entry| &entry.state)
    }

    /// The holder that this leader has named, with its epoch.
    pub fn holder(&self, shard: &ShardId) -> Option<(&str, u64)> {
        let entry = self.entries.get(shard).filter(|entry| entry.term == self.term)?;
        Some((entry.state.holder()?, entry.state.epoch()))
    }

    /// The holder that a former leader named, where this one has not named any yet.
    pub fn former_holder(&self, shard: &ShardId) -> Option<(&str, u64)> {
        let entry = self.entries.get(shard).filter(|entry| entry.term < self.term)?;
        Some((entry.state.holder()?, entry.state.epoch()))
    }

    /// The holders that this leader has named.
    pub fn current(&self) -> impl Iterator<Item = (&ShardId, &ShardState)> {
        let current = self.entries.iter().filter(|(_, entry)| entry.term == self.term);
        current.map(|(shard, entry)| (shard, &entry.state))
    }

    /// Why a move waits, for the operators.
    pub fn waits_for(&self, shard: &ShardId) -> Option<&'static str> {
        let entry = self.entries.get(shard)?;
        match &entry.state {
            _ if entry.writing => Some("its record to be written"),
            _ if entry.doubt.is_some() => Some("its record to be read"),
            _ if entry.term != self.term => Some("its former holder to be heard"),
            ShardState::Releasing { .. } => Some("its holder to let go"),
            ShardState::Released { .. } => Some("the next holder to be named"),
            ShardState::Vacant => Some("a holder to be named"),
            ShardState::Held { .. } => None,
        }
    }

    /// A holder says that it has let a shard go.
    pub fn released(&mut self, shard: &ShardId, from: &str, epoch: u64) {
        let Some(entry) = self.entries.get_mut(shard).filter(|entry| entry.term == self.term) else { return };
        if entry.state.holder() != Some(from) {
            return;
        }
        // Repeated until the next holder is named, and refused from the second time on.
        if let Ok(state) = entry.state.after(Transition::ConfirmRelease { epoch }) {
            entry.state = state;
        }
    }

    fn holdings(&self, around: &RegistryInput) -> ShardLoads {
        let mut holdings = ShardLoads::new();
        for shard in self.declared(around) {
            let entry = self.entries.get(&shard);
            let current = entry.filter(|entry| entry.term == self.term);
            let holder = current.and_then(|entry| entry.state.next_holder().or(entry.state.holder()));
            let machines = around.machines.get(&shard).copied().unwrap_or(0);
            holdings.insert(shard, ShardLoad { machines, holder: holder.map(str::to_owned) });
        }
        holdings
    }

    /// The shards that there should be.
    fn declared(&self, around: &RegistryInput) -> BTreeSet<ShardId> {
        let shards = self.settings.shards_per_zone;
        let of = |zone: &String| {
            let zone = zone.clone();
            (0..shards).map(move |index| ShardId { zone: zone.clone(), index })
        };
        around.zones.iter().flat_map(of).collect()
    }

    /// The records to be written now, at most so many. Each is taken for under way until
    /// [`ShardRegistry::written`] says what became of it.
    pub fn next_writes(&mut self, around: &RegistryInput, most: usize, now: Duration) -> Vec<RecordWrite> {
        if self.began.is_none() {
            self.next_move = now + self.settings.move_pause;
        }
        let began = *self.began.get_or_insert(now);
        let settled = now.saturating_sub(began) >= SETTLE;
        let mut holdings = self.holdings(around);
        let mut writes = Vec::new();
        let declared = self.declared(around);
        for shard in &declared {
            if writes.len() >= most {
                break;
            }
            let Some(write) = self.due_write(shard, around, &holdings, settled, now) else { continue };
            if let Some(holding) = holdings.get_mut(shard) {
                holding.holder = write.record.as_ref().map(|record| record.holder.clone());
            }
            writes.push(write);
        }
        if writes.is_empty() {
            writes.extend(self.begin_move(around, &holdings, now));
        }
        if writes.is_empty() {
            writes.extend(self.surplus(&declared).into_iter().take(most));
        }
        for write in &writes {
            let entry = self.entries.entry(write.shard.clone()).or_default();
            entry.writing = true;
        }
        writes
    }

    /// What must be written of a shard whatever the balance.
    fn due_write(
        &self,
        shard: &ShardId,
        around: &RegistryInput,
        holdings: &ShardLoads,
        settled: bool,
        now: Duration,
    ) -> Option<RecordWrite> {
        let vacant = TrackedShard::default();
        let entry = self.entries.get(shard).unwrap_or(&vacant);
        if entry.writing {
            return None;
        }
        let name = |holder: &str, reason| self.naming(shard, entry, around, holder, reason);
        let choose = |reason| {
            let chosen = balance::choose(shard, &around.candidates, holdings)?;
            name(&chosen.host, reason)
        };
        let Some(holder) = entry.state.holder() else {
            return settled.then(|| choose(NamingReason::First)).flatten();
        };
        let next = entry.state.next_holder();
        if entry.term != self.term {
            let former = [(next, NamingReason::Finished), (Some(holder), NamingReason::Renewed)];
            let there = former
                .into_iter()
                .find(|(host, _)| host.is_some_and(|host| around.live_nodes.contains_key(host)));
            return match there {
                Some((Some(host), reason)) => name(host, reason),
                _ if settled => choose(NamingReason::Silent),
                _ => None,
            };
        }
        if let Some(next) = next {
            let released = matches!(entry.state, ShardState::Released { .. });
            let late = now.saturating_sub(entry.since) >= self.settings.release_timeout;
            let gone = around.live_nodes.get(holder) != Some(&entry.boot);
            return match (around.takes(next), released || late || gone) {
                (true, true) if released => name(next, NamingReason::Released),
                (true, true) => name(next, NamingReason::ReleaseTimedOut),
                (true, false) => None,
                (false, _) if !gone => name(holder, NamingReason::Undone),
                (false, _) => choose(NamingReason::Silent),
            };
        }
        match around.live_nodes.get(holder) {
            None => choose(NamingReason::Silent),
            Some(boot) if *boot != entry.boot => name(holder, NamingReason::Restarted),
            Some(_) => None,
        }
    }

    fn naming(
        &self,
        shard: &ShardId,
        entry: &TrackedShard,
        around: &RegistryInput,
        holder: &str,
        reason: NamingReason,
    ) -> Option<RecordWrite> {
        let boot = *around.live_nodes.get(holder)?;
        let record = ShardRecord::held(holder, boot, self.term, self.settings.shards_per_zone);
        Some(self.write(shard, entry, Some(record), reason))
    }

    fn write(
        &self,
        shard: &ShardId,
        entry: &TrackedShard,
        record: Option<ShardRecord>,
        reason: NamingReason,
    ) -> RecordWrite {
        let from = entry.state.holder().map(str::to_owned);
        RecordWrite { shard: shard.clone(), revision: entry.revision, record, from, reason }
    }

    /// Begins a move, if none is under way.
    fn begin_move(
        &mut self,
        around: &RegistryInput,
        holdings: &ShardLoads,
        now: Duration,
    ) -> Option<RecordWrite> {
        let busy = |entry: &TrackedShard| {
            entry.writing || entry.doubt.is_some() || entry.state.next_holder().is_some()
        };
        if self.entries.values().any(busy) {
            return None;
        }
        let (shard, to, reason) = self.next_move(around, holdings, now)?;
        self.next_move = now + self.settings.move_pause;
        let entry = self.entries.get(&shard)?;
        let holder = entry.state.holder()?.to_owned();
        // The leader lets go in the same step.
        if holder == self.own {
            return self.naming(&shard, entry, around, &to, reason);
        }
        let moving = Some(PendingMove { epoch: entry.state.epoch(), to });
        let record = ShardRecord {
            moving,
            ..ShardRecord::held(&holder, entry.boot, self.term, self.settings.shards_per_zone)
        };
        Some(self.write(&shard, entry, Some(record), reason))
    }

    fn next_move(
        &mut self,
        around: &RegistryInput,
        holdings: &ShardLoads,
        now: Duration,
    ) -> Option<(ShardId, String, NamingReason)> {
        if let Some(interval) = self.settings.rotate {
            if now >= self.next_rotation {
                self.next_rotation = now + interval;
                return self.rotation(around);
            }
        }
        if now < self.next_move {
            return None;
        }
        if let Some(drained) = self.drained(around, holdings) {
            return Some(drained);
        }
        let best = balance::improve(&around.candidates, holdings, self.settings.hysteresis)?;
        Some((best.shard, best.to, NamingReason::Balance))
    }

    /// A shard whose holder is there but is to hold none.
    fn drained(
        &self,
        around: &RegistryInput,
        holdings: &ShardLoads,
    ) -> Option<(ShardId, String, NamingReason)> {
        let keeps = |holding: &ShardLoad| holding.holder.as_ref().is_none_or(|holder| around.takes(holder));
        let (shard, _) = holdings.iter().find(|(_, holding)| !keeps(holding))?;
        let to = balance::choose(shard, &around.candidates, holdings)?;
        Some((shard.clone(), to.host.clone(), NamingReason::Drained))
    }

    /// The shard that has been with its holder for the longest, and the next controller by
    /// name.
    fn rotation(&self, around: &RegistryInput) -> Option<(ShardId, String, NamingReason)> {
        let held = self.entries.iter().filter(|(_, entry)| entry.term == self.term);
        let (shard, entry) = held.min_by_key(|(_, entry)| entry.since)?;
        let holder = entry.state.holder()?;
        let mut hosts: Vec<&str> =
            around.candidates.iter().map(|candidate| candidate.host.as_str()).collect();
        hosts.sort_unstable();
        let after = hosts.iter().find(|host| **host > holder).or(hosts.first());
        let to = after.filter(|host| **host != holder)?;
        Some((shard.clone(), (*to).to_owned(), NamingReason::Rotation))
    }

    /// Records that no machine belongs to by this leader's settings.
    fn surplus(&self, declared: &BTreeSet<ShardId>) -> Vec<RecordWrite> {
        let zones: BTreeSet<&str> = declared.iter().map(|shard| shard.zone.as_str()).collect();
        let surplus = |shard: &ShardId| zones.contains(shard.zone.as_str()) && !declared.contains(shard);
        let there = self.entries.iter().filter(|(shard, entry)| {
            surplus(shard) && entry.revision > 0 && !entry.writing && entry.state != ShardState::Vacant
        });
        let drop =
            |(shard, entry): (&ShardId, &TrackedShard)| self.write(shard, entry, None, NamingReason::Surplus);
        there.map(drop).collect()
    }

    /// What became of a write that was asked for at `sent`. Tells which holder was named by
    /// it.
    pub fn write_completed(
        &mut self,
        write: &RecordWrite,
        outcome: WriteOutcome,
        sent: Duration,
        now: Duration,
    ) -> Option<HolderNamed> {
        let entry = self.entries.get_mut(&write.shard)?;
        entry.writing = false;
        let revision = match outcome {
            WriteOutcome::Committed { revision } => revision,
            WriteOutcome::Failed => return None,
            WriteOutcome::Lost => {
                entry.doubt = Some(sent);
                return None;
            }
        };
        // The records may have been read before the answer came.
        if revision < entry.revision {
            return None;
        }
        let Some(record) = &write.record else {
            *entry = TrackedShard { revision, ..TrackedShard::default() };
            return None;
        };
        let from = write.from.clone();
        let transition = match &record.moving {
            Some(moving) => Transition::BeginRelease { to: moving.to.clone() },
            None => Transition::Name { holder: record.holder.clone(), epoch: revision },
        };
        if let Ok(state) = entry.state.after(transition) {
            entry.state = state;
        }
        (entry.revision, entry.term, entry.since, entry.doubt) = (revision, record.term, now, None);
        entry.boot = record.boot;
        if record.moving.is_some() {
            return None;
        }
        self.moves += u64::from(from.as_ref().is_some_and(|from| *from != record.holder));
        Some(HolderNamed {
            shard: write.shard.clone(),
            from,
            to: record.holder.clone(),
            epoch: revision,
            reason: write.reason,
        })
    }

    /// Shards that changed hands under this leader.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// When [`ShardRegistry::next_writes`] should be asked again by time alone.
    pub fn next_due(&self, now: Duration) -> Duration {
        let waits =
            self.entries.values().any(|entry| entry.term != self.term || entry.state.next_holder().is_some());
        let soon = if waits { Duration::from_millis(100) } else { Duration::from_millis(500) };
        now + soon
    }
}
