//! A rented machine and its worker, as a node knows them.

use crate::fleet::command_tracking::CommandTracking;
use crate::fleet::heartbeat_times::HeartbeatTimes;
use crate::fleet::response_tracking::ResponseTracking;
use crate::placement::backfill::Slot;
use crate::protocol::{CommandReply, Heartbeat, MachineName, Pool, TaskId, WorkerCommand};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The share of a lease between two redirects of a worker to another node.
const REDIRECT_INTERVAL_LEASES: f64 = 0.6;
/// Inventories in a row that lack a machine after which it counts as unlisted.
const MAX_MISSED_INVENTORIES: u32 = 2;

/// Why a machine goes back to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalReason {
    /// The fleet is larger than its target.
    Surplus,
    /// No heartbeat of it came in time.
    HeartbeatTimeout,
    /// It never came up.
    BootTimeout,
    /// The cloud lists it as failed.
    InstanceFailed,
    /// Tasks fail on it again and again.
    Faulty,
    /// It holds tasks of a cancelled job that should be gone by now.
    CancellationDue,
    /// The cloud no longer lists it.
    NotInInventory,
    /// Its heartbeats arrive, but the responses and commands have no effect.
    IgnoresCommands,
    /// It lost attempts that it had listed.
    LostAttempts,
    /// A former leader had begun to give it back.
    ReturnInherited,
}

/// What a heartbeat is to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatNews {
    /// A late copy, or of a machine that is gone.
    Stale,
    /// Of the same tasks in the same states as the one before.
    Unchanged,
    /// Of other tasks, states, incarnation or token than the one before.
    Changed,
}

/// The order of a worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The worker's session.
    pub incarnation: u64,
    /// Counts the heartbeats of the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The place of this heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// What the cloud's inventories have shown of a machine.
#[derive(Debug, Clone, Default)]
pub struct InventoryTracking {
    /// It was listed, or has attempts, so that its absence counts.
    pub is_expected: bool,
    /// It was up once, by the inventory or by the attempts placed on it, even if
    /// this node has not heard from it.
    pub known_up: bool,
    /// Inventories in a row that lacked it after it had been listed.
    pub missed_in_a_row: u32,
}

/// A rented machine and its worker.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name in the cloud.
    pub name: MachineName,
    /// Where its worker takes direct commands; empty if unknown.
    pub address: Arc<str>,
    /// Its machine type, zone and whether it is a spot instance.
    pub pool: Pool,
    /// When it was rented, as far as known.
    pub rented_at: Duration,
    /// The place of the newest heartbeat.
    pub last_heartbeat_id: Option<HeartbeatId>,
    /// The newest heartbeat.
    pub last_heartbeat: Option<Heartbeat>,
    /// When it was last heard.
    pub heartbeat_times: HeartbeatTimes,
    /// Its last heartbeat came through a peer.
    pub is_relayed: bool,
    /// The cloud is about to take it back.
    pub has_preemption_notice: bool,
    /// What the cloud's inventories have shown of it.
    pub inventory: InventoryTracking,
    /// Images that it holds, the latest used first, by number in the placement index.
    pub cached_images: VecDeque<u32>,
    /// How passes see it; None: to be computed anew.
    pub cached_slot: Option<Slot>,
    /// It is there for certain: a heartbeat carried this leader's own token, or it
    /// answered a command. A heartbeat without the token may be a late copy.
    pub confirmed: bool,
    /// Errors of tasks on it in a row.
    pub consecutive_errors: u32,
    /// Why it is on its way back to the cloud, if it is.
    pub removal: Option<RemovalReason>,
    /// No starts before this time, since the worker refused one for lack of room.
    pub no_starts_until: Duration,
    /// The responses to its heartbeats.
    pub responses: ResponseTracking,
    /// The direct commands to its worker.
    pub commands: CommandTracking,
    /// When its worker was last redirected to another node.
    pub redirected_at: Option<Duration>,
    /// Since when it has been without any task.
    pub idle_since: Option<Duration>,
}

impl Machine {
    /// A machine of which nothing was heard yet.
    pub(super) fn new(
        name: MachineName,
        address: Arc<str>,
        pool: Pool,
        rented_at: Duration,
        now: Duration,
    ) -> Self {
        Self {
            name,
            address,
            pool,
            rented_at,
            last_heartbeat_id: None,
            last_heartbeat: None,
            heartbeat_times: HeartbeatTimes::new(now),
            is_relayed: false,
            has_preemption_notice: false,
            inventory: InventoryTracking::default(),
            cached_images: VecDeque::new(),
            cached_slot: None,
            confirmed: false,
            consecutive_errors: 0,
            removal: None,
            no_starts_until: Duration::ZERO,
            responses: ResponseTracking::default(),
            commands: CommandTracking::default(),
            redirected_at: None,
            idle_since: None,
        }
    }

    /// The worker's session, by the newest heartbeat.
    pub fn incarnation(&self) -> Option<u64> {
        self.last_heartbeat_id.map(|id| id.incarnation)
    }

    /// Whether it is there for certain and stays.
    pub fn is_up(&self) -> bool {
        self.confirmed && self.removal.is_none()
    }

    /// Whether the cloud has left it out of its inventory long enough to be gone.
    pub fn is_unlisted(&self) -> bool {
        self.inventory.missed_in_a_row >= MAX_MISSED_INVENTORIES
    }

    /// Whether a task placed there now might wait: its heartbeat is later than
    /// `heartbeat_timeout`, or the latest command or response had no effect.
    pub fn is_start_doubtful(&self, now: Duration, heartbeat_timeout: Duration) -> bool {
        now.saturating_sub(self.heartbeat_times.last_heard_at) > heartbeat_timeout
            || self.commands.unanswered > 0
            || self.responses.is_ignored()
    }

    /// Whether the newest heartbeat lists an attempt.
    pub fn lists(&self, task: &TaskId, attempt: u64) -> bool {
        let is_listed =
            |heartbeat: &Heartbeat| heartbeat.tasks.iter().any(|l| l.task == *task && l.attempt == attempt);
        self.last_heartbeat.as_ref().is_some_and(is_listed)
    }

    /// Whether a direct start of the attempt may still be carried out.
    pub fn has_unconfirmed_start(&self, task: &TaskId, attempt: u64) -> bool {
        self.commands.has_unconfirmed_start(task, attempt)
    }

    /// Whether a command may be sent straight to the worker. One that reaches this node only
    /// through a peer is not reached by it either: a command might be held and carried out long
    /// after.
    pub fn takes_commands(&self) -> bool {
        !self.commands.in_flight && !self.address.is_empty() && self.removal.is_none() && !self.is_relayed
    }

    /// A direct command with these starts is sent; returns the address that it goes to.
    pub fn begin_command(&mut self, starts: &[(TaskId, u64)]) -> Arc<str> {
        let incarnation = self.incarnation().unwrap_or_default();
        self.commands.begin(starts, incarnation);
        self.address.clone()
    }

    /// What came of a direct command.
    pub fn end_command(&mut self, incarnation: u64, starts: &[(TaskId, u64)], reply: &CommandReply) {
        self.commands.end(starts, incarnation, reply);
    }

    /// Whether the worker is to look for another node, once in a while: where this node
    /// `is_cut_off`, another one may be entitled by now. A worker that finds none comes back
    /// before its lease expires.
    pub fn take_redirect(&mut self, is_cut_off: bool, lease: Duration, now: Duration) -> bool {
        let interval = lease.mul_f64(REDIRECT_INTERVAL_LEASES);
        let is_due = is_cut_off && self.redirected_at.is_none_or(|at| now.saturating_sub(at) > interval);
        if is_due {
            self.redirected_at = Some(now);
        }
        is_due
    }

    /// Notes what a response to a heartbeat asked for. The first that a node hears of a machine
    /// may be an old copy, of an earlier incarnation: its response reaches no worker, and one that
    /// then reports a later incarnation or nothing of what was asked does not ignore commands.
    pub fn record_response(&mut self, commands: &[WorkerCommand], now: Duration) {
        if self.confirmed {
            self.responses.record(commands, now);
        }
    }

    /// Takes in a heartbeat that came at `now` to a node whose fencing token, or shard's epoch, is
    /// `own_token`.
    pub(super) fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatNews {
        let id = HeartbeatId::of(heartbeat);
        if self.last_heartbeat_id.is_some_and(|newest| id <= newest) {
            return HeartbeatNews::Stale;
        }
        let is_first = self.last_heartbeat_id.is_none();
        let is_unchanged = self.last_heartbeat.as_ref().is_some_and(|last| {
            (last.incarnation, last.token) == (heartbeat.incarnation, heartbeat.token)
                && last.tasks == heartbeat.tasks
        });
        if self.incarnation() != Some(heartbeat.incarnation) {
            self.begin_incarnation(heartbeat.incarnation, is_first, now);
        }
        if self.responses.check_effects(heartbeat) {
            self.removal.get_or_insert(RemovalReason::IgnoresCommands);
        }
        self.commands.unanswered = 0;
        // A later token is of the same term, or of one whose leader has taken this one's place.
        self.confirmed |= heartbeat.token >= own_token;
        // What carries an earlier token may be a late copy: no sign of life.
        if self.confirmed || is_first {
            self.heartbeat_times.last_heard_at = now;
        }
        self.last_heartbeat_id = Some(id);
        self.heartbeat_times.last_new_at = now;
        if !self.pool.matches(heartbeat) {
            self.pool = Pool::of(heartbeat);
            self.cached_slot = None;
        }
        self.address = heartbeat.address.clone();
        self.has_preemption_notice |= heartbeat.preemption_notice.is_some();
        self.last_heartbeat = Some(heartbeat.clone());
        if is_unchanged {
            HeartbeatNews::Unchanged
        } else {
            HeartbeatNews::Changed
        }
    }

    /// The worker has begun a new incarnation: it holds nothing of the one before.
    fn begin_incarnation(&mut self, incarnation: u64, is_first: bool, now: Duration) {
        // Its lease expired although it was answered: the responses don't reach it.
        if !is_first && self.responses.should_have_renewed_lease(now) {
            self.removal.get_or_insert(RemovalReason::IgnoresCommands);
        }
        self.commands.drop_earlier_incarnations(incarnation);
        self.responses.expect_nothing();
        self.cached_images.clear();
        self.cached_slot = None;
    }
}
