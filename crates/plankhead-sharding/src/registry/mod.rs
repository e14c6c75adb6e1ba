//! The leader's side: the state of every shard, and the records to write next.
//!
//! Every write is conditional on the leader's key and on the record's revision, and has a reason. A
//! write with an unknown outcome leaves its shard uncertain until the records have been read again.
//! Until then, the leader may repeat the write with the revision that it knows, which fails if the
//! first write was carried out.

mod moves;
mod naming;
mod record_write;
mod tracked_shard;

pub use record_write::{HolderNamed, NamingReason, RecordWrite, WriteOutcome};

use crate::balance::{Candidate, ShardLoad, ShardLoads};
use crate::settings::Settings;
use crate::shard::ShardId;
use crate::state::{ShardState, Transition};
use crate::table::ShardTable;
use naming::NamingPlanner;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracked_shard::TrackedShard;

/// The time that a new leader allows for messages from the other nodes before it names holders that
/// no former leader has named.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The planning interval while a shard waits for a holder or moves.
const WAITING_INTERVAL: Duration = Duration::from_millis(100);
/// The planning interval otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// The leader's knowledge of the nodes and machines, on which the registry bases its decisions.
#[derive(Debug, Clone, Default)]
pub struct RegistryInput {
    /// The nodes that send messages and can read the records, including the leader, each with the
    /// boot id of its process.
    pub live_nodes: BTreeMap<String, u64>,
    /// The live nodes that may take shards.
    pub candidates: Vec<Candidate>,
    /// The numbers of machines by shard.
    pub machines: BTreeMap<ShardId, u32>,
    /// The zones that have or may have machines.
    pub zones: BTreeSet<String>,
}

impl RegistryInput {
    fn may_take_shards(&self, host: &str) -> bool {
        self.candidates.iter().any(|candidate| candidate.host == host)
    }
}

/// The shards and their states during one leader's term.
#[derive(Debug)]
pub struct ShardRegistry {
    term: u64,
    own_name: String,
    settings: Settings,
    shards: BTreeMap<ShardId, TrackedShard>,
    /// The time at which this leader first planned writes.
    started_at: Option<Duration>,
    next_move_at: Duration,
    next_rotation_at: Duration,
    moves: u64,
}

impl ShardRegistry {
    /// Creates the registry of the leader `own_name` with the fencing token `term`.
    pub fn new(term: u64, own_name: &str, settings: Settings) -> Self {
        Self {
            term,
            own_name: own_name.into(),
            settings,
            shards: BTreeMap::new(),
            started_at: None,
            next_move_at: Duration::ZERO,
            next_rotation_at: Duration::ZERO,
            moves: 0,
        }
    }

    /// Updates the registry with the records of `table`. `read_at` is the time at which the latest
    /// complete read of them was sent.
    pub fn apply_records(&mut self, table: &ShardTable, read_at: Option<Duration>, now: Duration) {
        for (shard, known) in table.iter() {
            let tracked = self.shards.entry(shard.clone()).or_default();
            if known.revision <= tracked.revision {
                continue;
            }
            let record = &known.record;
            let (holder, epoch) = (record.holder.clone(), known.epoch());
            tracked.state = match &record.moving {
                Some(moving) => ShardState::Releasing { holder, epoch, to: moving.to.clone() },
                None => ShardState::Held { holder, epoch },
            };
            (tracked.revision, tracked.term, tracked.since) = (known.revision, record.term, now);
            tracked.boot = record.boot;
        }
        for tracked in self.shards.values_mut() {
            let is_later = |sent: &Duration| read_at.is_some_and(|read_at| read_at > *sent);
            if tracked.uncertain_write_at.as_ref().is_some_and(is_later) {
                tracked.uncertain_write_at = None;
            }
        }
    }

    /// Returns whether a record may have been written that this leader does not know. A token above
    /// [`highest_epoch`](Self::highest_epoch) may then be the epoch of a shard.
    pub fn has_uncertain_writes(&self) -> bool {
        self.shards.values().any(TrackedShard::is_uncertain)
    }

    /// Returns this leader's token or the highest revision of the records that it wrote, whichever is
    /// higher. No known epoch of this term is above it.
    pub fn highest_epoch(&self) -> u64 {
        let current = self.shards.values().filter(|tracked| tracked.term == self.term);
        current.map(|tracked| tracked.revision).fold(self.term, u64::max)
    }

    /// Returns the shard of a machine according to this leader's settings.
    pub fn shard_of(&self, zone: &str, machine: &str) -> ShardId {
        ShardId::of(zone, machine, self.settings.shards_per_zone)
    }

    /// Returns the state of a shard.
    pub fn state(&self, shard: &ShardId) -> Option<&ShardState> {
        self.shards.get(shard).map(|tracked| &tracked.state)
    }

    /// Returns the holder that this leader has named for a shard, with its epoch.
    pub fn holder(&self, shard: &ShardId) -> Option<(&str, u64)> {
        let tracked = self.shards.get(shard).filter(|tracked| tracked.term == self.term)?;
        Some((tracked.state.holder()?, tracked.state.epoch()))
    }

    /// Returns the holder that a former leader named for a shard, with its epoch, if this leader has
    /// not named one yet.
    pub fn former_holder(&self, shard: &ShardId) -> Option<(&str, u64)> {
        let tracked = self.shards.get(shard).filter(|tracked| tracked.term < self.term)?;
        Some((tracked.state.holder()?, tracked.state.epoch()))
    }

    /// Returns the shards whose holders this leader has named.
    pub fn named_shards(&self) -> impl Iterator<Item = (&ShardId, &ShardState)> {
        let current = self.shards.iter().filter(|(_, tracked)| tracked.term == self.term);
        current.map(|(shard, tracked)| (shard, &tracked.state))
    }

    /// Returns a description of what a shard waits for, for the operators' view.
    pub fn waits_for(&self, shard: &ShardId) -> Option<&'static str> {
        let tracked = self.shards.get(shard)?;
        match &tracked.state {
            _ if tracked.is_writing => Some("its record to be written"),
            _ if tracked.uncertain_write_at.is_some() => Some("its record to be read"),
            _ if tracked.term != self.term => Some("its former holder to be heard"),
            ShardState::Releasing { .. } => Some("its holder to let go"),
            ShardState::Released { .. } => Some("the next holder to be named"),
            ShardState::Vacant => Some("a holder to be named"),
            ShardState::Held { .. } => None,
        }
    }

    /// Handles a holder's confirmation that it has released a shard.
    pub fn release_confirmed(&mut self, shard: &ShardId, from: &str, epoch: u64) {
        let current = self.shards.get_mut(shard).filter(|tracked| tracked.term == self.term);
        let Some(tracked) = current.filter(|tracked| tracked.state.holder() == Some(from)) else { return };
        // Holders repeat the confirmation until the next holder is named. The state machine rejects
        // the repeats.
        if let Ok(state) = tracked.state.after(Transition::ConfirmRelease { epoch }) {
            tracked.state = state;
        }
    }

    /// Returns the load of every configured shard, with its holder in this term or, during a move, the
    /// next holder.
    fn loads(&self, input: &RegistryInput, configured: &BTreeSet<ShardId>) -> ShardLoads {
        let load = |shard: &ShardId| {
            let tracked = self.shards.get(shard).filter(|tracked| tracked.term == self.term);
            let holder = tracked.and_then(|tracked| tracked.state.next_holder().or(tracked.state.holder()));
            let machines = input.machines.get(shard).copied().unwrap_or(0);
            ShardLoad { machines, holder: holder.map(str::to_owned) }
        };
        configured.iter().map(|shard| (shard.clone(), load(shard))).collect()
    }

    /// Returns the shards that exist according to this leader's settings.
    fn configured_shards(&self, input: &RegistryInput) -> BTreeSet<ShardId> {
        let shards_of = |zone: &String| {
            let zone = zone.clone();
            (0..self.settings.shards_per_zone).map(move |index| ShardId { zone: zone.clone(), index })
        };
        input.zones.iter().flat_map(shards_of).collect()
    }

    /// Returns the records to write now, at most `max_writes`. Each write counts as in flight until its
    /// outcome is passed to [`ShardRegistry::write_completed`].
    pub fn next_writes(
        &mut self,
        input: &RegistryInput,
        max_writes: usize,
        now: Duration,
    ) -> Vec<RecordWrite> {
        if self.started_at.is_none() {
            self.next_move_at = now + self.settings.move_pause;
        }
        let started_at = *self.started_at.get_or_insert(now);
        let settled = now.saturating_sub(started_at) >= SETTLE_TIMEOUT;
        let configured = self.configured_shards(input);
        let mut loads = self.loads(input, &configured);
        let planner = NamingPlanner { registry: self, input, settled, now };
        let mut writes = planner.due_writes(&configured, &mut loads, max_writes);
        if writes.is_empty() {
            writes.extend(self.begin_move(input, &loads, now));
        }
        if writes.is_empty() {
            writes.extend(self.surplus_deletions(&configured).into_iter().take(max_writes));
        }
        for write in &writes {
            self.shards.entry(write.shard.clone()).or_default().is_writing = true;
        }
        writes
    }

    /// Returns deletions of the records of shards that do not exist according to this leader's
    /// settings, in zones that do.
    fn surplus_deletions(&self, configured: &BTreeSet<ShardId>) -> Vec<RecordWrite> {
        let zones: BTreeSet<&str> = configured.iter().map(|shard| shard.zone.as_str()).collect();
        let is_surplus = |shard: &ShardId| zones.contains(shard.zone.as_str()) && !configured.contains(shard);
        let surplus = self.shards.iter().filter(|(shard, tracked)| {
            let is_stored = tracked.revision > 0 && tracked.state != ShardState::Vacant;
            is_surplus(shard) && is_stored && !tracked.is_writing
        });
        surplus.map(|(shard, tracked)| tracked.record_write(shard, None, NamingReason::Surplus)).collect()
    }

    /// Handles the outcome of a write that was sent at `sent`. Returns the holder that it named, if any.
    pub fn write_completed(
        &mut self,
        write: &RecordWrite,
        outcome: WriteOutcome,
        sent: Duration,
        now: Duration,
    ) -> Option<HolderNamed> {
        let tracked = self.shards.get_mut(&write.shard)?;
        tracked.is_writing = false;
        let revision = match outcome {
            WriteOutcome::Committed { revision } => revision,
            WriteOutcome::Failed => return None,
            WriteOutcome::Unknown => {
                tracked.uncertain_write_at = Some(sent);
                return None;
            }
        };
        // The records may have been read before this reply arrived, and may be newer.
        if revision < tracked.revision {
            return None;
        }
        let Some(record) = &write.record else {
            *tracked = TrackedShard { revision, ..TrackedShard::default() };
            return None;
        };
        let transition = match &record.moving {
            Some(moving) => Transition::BeginRelease { to: moving.to.clone() },
            None => Transition::Name { holder: record.holder.clone(), epoch: revision },
        };
        if let Ok(state) = tracked.state.after(transition) {
            tracked.state = state;
        }
        (tracked.revision, tracked.term, tracked.since) = (revision, record.term, now);
        tracked.uncertain_write_at = None;
        tracked.boot = record.boot;
        if record.moving.is_some() {
            return None;
        }
        let (shard, from, to) = (write.shard.clone(), write.from.clone(), record.holder.clone());
        self.moves += u64::from(from.as_ref().is_some_and(|from| *from != to));
        Some(HolderNamed { shard, from, to, epoch: revision, reason: write.reason })
    }

    /// Returns the number of times that a shard got another holder in this term.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Returns the time at which [`ShardRegistry::next_writes`] should be called again if nothing
    /// changes before.
    pub fn next_due(&self, now: Duration) -> Duration {
        let is_waiting =
            |tracked: &TrackedShard| tracked.term != self.term || tracked.state.next_holder().is_some();
        let interval = if self.shards.values().any(is_waiting) { WAITING_INTERVAL } else { IDLE_INTERVAL };
        now + interval
    }
}
