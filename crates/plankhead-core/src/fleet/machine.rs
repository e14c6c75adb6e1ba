//! A rented machine and its worker, as known to a node.

use crate::fleet::command_tracking::CommandTracking;
use crate::fleet::heartbeat_times::HeartbeatTimes;
use crate::fleet::response_tracking::ResponseTracking;
use crate::placement::backfill::Slot;
use crate::protocol::{CommandReply, Heartbeat, MachineName, Pool, TaskId, WorkerCommand};
use crate::token_range::WorkerTokens;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The minimum time between two redirects of a worker to another node, as a fraction of the worker
/// lease.
const REDIRECT_INTERVAL_LEASES: f64 = 0.6;
/// The number of consecutive inventories without a machine after which it counts as unlisted.
const MAX_MISSED_INVENTORIES: u32 = 2;

/// The reason for returning a machine to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalReason {
    /// The fleet is larger than its target.
    Surplus,
    /// No heartbeat of the machine arrived in time.
    HeartbeatTimeout,
    /// The machine did not come up in time.
    BootTimeout,
    /// The cloud lists the machine as failed.
    InstanceFailed,
    /// Too many consecutive tasks failed on the machine.
    Faulty,
    /// The machine has tasks of a cancelled job that must have stopped by now.
    CancellationDue,
    /// The cloud no longer lists the machine.
    NotInInventory,
    /// The machine's heartbeats arrive, but responses and commands to it have no effect.
    IgnoresCommands,
    /// The machine no longer lists attempts that it listed before.
    LostAttempts,
    /// A previous leader had begun to return the machine.
    ReturnInherited,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Surplus => "surplus",
            Self::HeartbeatTimeout => "heartbeat_timeout",
            Self::BootTimeout => "boot_timeout",
            Self::InstanceFailed => "instance_failed",
            Self::Faulty => "faulty",
            Self::CancellationDue => "cancellation_due",
            Self::NotInInventory => "not_in_inventory",
            Self::IgnoresCommands => "ignores_commands",
            Self::LostAttempts => "lost_attempts",
            Self::ReturnInherited => "return_inherited",
        })
    }
}

/// How a heartbeat differs from the previous heartbeat of the same machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatChange {
    /// The heartbeat is a late copy, or its machine has been removed.
    Stale,
    /// The incarnation, the token, the tasks and their states are the same.
    Unchanged,
    /// The tasks, their states, the incarnation or the token differ.
    Changed,
}

/// Identifies a heartbeat of a worker; ordered by age, the oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The worker's session.
    pub incarnation: u64,
    /// The heartbeat's sequence number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// Returns the identifier of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// The state of a machine according to the cloud's inventories.
#[derive(Debug, Clone, Default)]
pub struct InventoryTracking {
    /// Whether the machine should be listed, because it was listed before or has attempts.
    pub is_expected: bool,
    /// Whether the inventory, or attempts placed on the machine, show that it has been up, even if
    /// this node has not heard from it.
    pub known_up: bool,
    /// The number of consecutive inventories without the machine; counted only if `is_expected`.
    pub missed_in_a_row: u32,
}

/// A rented machine and its worker.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The machine's name in the cloud.
    pub name: MachineName,
    /// The address at which the worker accepts direct commands; empty if unknown.
    pub address: Arc<str>,
    /// The machine type, the zone and whether the machine is a spot instance.
    pub pool: Pool,
    /// When the machine was rented, as far as known.
    pub rented_at: Duration,
    /// The identifier of the newest heartbeat.
    pub last_heartbeat_id: Option<HeartbeatId>,
    /// The newest heartbeat.
    pub last_heartbeat: Option<Heartbeat>,
    /// The times at which the machine was last heard from.
    pub heartbeat_times: HeartbeatTimes,
    /// Whether the last heartbeat was relayed by a peer.
    pub is_relayed: bool,
    /// Whether the cloud has announced that it will take the machine back.
    pub has_preemption_notice: bool,
    /// The machine's state according to the cloud's inventories.
    pub inventory: InventoryTracking,
    /// The images in the machine's cache, the most recently used first, by number in the placement
    /// index.
    pub cached_images: VecDeque<u32>,
    /// The machine as seen by placement passes; `None` if it must be recomputed.
    pub cached_slot: Option<Slot>,
    /// Whether the machine is known to be up: a heartbeat carried this node's token or a later one,
    /// the worker answered a direct command, or the holder of its shard confirmed it. A heartbeat
    /// with an earlier token may be a late copy.
    pub confirmed: bool,
    /// The number of consecutive task failures on the machine.
    pub consecutive_errors: u32,
    /// The reason for the machine's removal, if it is being returned to the cloud.
    pub removal: Option<RemovalReason>,
    /// No task is started before this time, because the worker refused one for lack of resources.
    pub no_starts_until: Duration,
    /// The responses to the worker's heartbeats.
    pub responses: ResponseTracking,
    /// The direct commands to the worker.
    pub commands: CommandTracking,
    /// When the worker was last redirected to another node.
    pub redirected_at: Option<Duration>,
    /// The time since which the machine has had no tasks.
    pub idle_since: Option<Duration>,
}

impl Machine {
    /// Creates a machine from which no heartbeat has arrived.
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

    /// Returns the worker's session according to the newest heartbeat.
    pub fn incarnation(&self) -> Option<u64> {
        self.last_heartbeat_id.map(|id| id.incarnation)
    }

    /// Returns whether the machine is confirmed and not being removed.
    pub fn is_up(&self) -> bool {
        self.confirmed && self.removal.is_none()
    }

    /// Returns whether enough consecutive inventories lacked the machine to consider it gone.
    pub fn is_unlisted(&self) -> bool {
        self.inventory.missed_in_a_row >= MAX_MISSED_INVENTORIES
    }

    /// Returns whether the start of a task placed on the machine now might be delayed: the last
    /// heartbeat is older than `heartbeat_timeout`, or the latest direct command was not answered,
    /// or the latest response had no effect.
    pub fn is_start_doubtful(&self, now: Duration, heartbeat_timeout: Duration) -> bool {
        now.saturating_sub(self.heartbeat_times.last_heard_at) > heartbeat_timeout
            || self.commands.unanswered > 0
            || self.responses.is_ignored()
    }

    /// Returns whether the newest heartbeat lists the attempt.
    pub fn lists_attempt(&self, task: &TaskId, attempt: u64) -> bool {
        let is_listed =
            |heartbeat: &Heartbeat| heartbeat.tasks.iter().any(|l| l.task == *task && l.attempt == attempt);
        self.last_heartbeat.as_ref().is_some_and(is_listed)
    }

    /// Returns whether a direct command may be sent to the worker. A worker whose heartbeats are
    /// relayed by a peer receives none: the path from this node to the worker is assumed to be cut
    /// too, and the network might hold the command and deliver it much later.
    pub fn takes_commands(&self) -> bool {
        !self.commands.in_flight && !self.address.is_empty() && self.removal.is_none() && !self.is_relayed
    }

    /// Records that a direct command is being sent, given the base token for the machine. Returns the
    /// address and the token to send it under.
    pub fn begin_command(&mut self, base_token: u64, has_starts: bool) -> (Arc<str>, u64) {
        let token = self.commands.token(base_token);
        self.commands.begin(token, has_starts);
        (self.address.clone(), token)
    }

    /// Handles the outcome of a direct command.
    pub fn end_command(&mut self, reply: &CommandReply) {
        self.commands.end(reply);
    }

    /// Forgets under which tokens starts were sent directly, because another role of this node may have
    /// sent some.
    pub fn forget_direct_starts(&mut self) {
        self.commands.forget_direct_starts();
    }

    /// Returns the token of the latest answer or command, or this base token if that is higher.
    pub fn token(&self, base: u64) -> u64 {
        self.commands.token(base)
    }

    /// Chooses the token for the answer to a heartbeat, and removes the acknowledgements from `commands`
    /// that may not be sent yet.
    pub fn choose_token(&mut self, tokens: WorkerTokens, commands: &mut Vec<WorkerCommand>) -> u64 {
        self.commands.choose_token(tokens, commands)
    }

    /// Returns whether to redirect the worker to another node, and records the redirect. A worker is
    /// redirected only if `node_is_disconnected`, because another node may have taken over. There is a
    /// minimum time between two redirects, so that a worker that finds no other leader is answered
    /// here before its lease expires.
    pub fn take_redirect(&mut self, node_is_disconnected: bool, lease: Duration, now: Duration) -> bool {
        let interval = lease.mul_f64(REDIRECT_INTERVAL_LEASES);
        let is_due =
            node_is_disconnected && self.redirected_at.is_none_or(|at| now.saturating_sub(at) > interval);
        if is_due {
            self.redirected_at = Some(now);
        }
        is_due
    }

    /// Records the commands of a response to a heartbeat, if the machine is confirmed. The first
    /// heartbeat of a machine may be an old copy from an earlier incarnation. The response to such
    /// a copy reaches no worker, so a later heartbeat without the effects of these commands does
    /// not show that the worker ignores commands.
    pub fn record_response(&mut self, commands: &[WorkerCommand], now: Duration) {
        if self.confirmed {
            self.responses.record(commands, now);
        }
    }

    /// Applies a heartbeat received at `now` by a node whose fencing token, or shard epoch, is
    /// `own_token`.
    pub(super) fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatChange {
        let id = HeartbeatId::of(heartbeat);
        if self.last_heartbeat_id.is_some_and(|newest| id <= newest) {
            return HeartbeatChange::Stale;
        }
        let is_first = self.last_heartbeat_id.is_none();
        let is_unchanged = self.last_heartbeat.as_ref().is_some_and(|last| {
            (last.incarnation, last.token) == (heartbeat.incarnation, heartbeat.token)
                && last.tasks == heartbeat.tasks
        });
        if self.incarnation() != Some(heartbeat.incarnation) {
            self.begin_incarnation(is_first, now);
        }
        if self.responses.check_effects(heartbeat) {
            self.removal.get_or_insert(RemovalReason::IgnoresCommands);
        }
        self.commands.unanswered = 0;
        // A token that is not lower than this node's comes from this term or from one that replaced it.
        self.confirmed |= heartbeat.token >= own_token;
        // A heartbeat with an earlier token may be a late copy, so it does not show that an
        // unconfirmed machine is alive. Only the first heartbeat counts whatever its token.
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
            HeartbeatChange::Unchanged
        } else {
            HeartbeatChange::Changed
        }
    }

    /// Resets the state of the previous incarnation, of which the worker has kept nothing.
    fn begin_incarnation(&mut self, is_first: bool, now: Duration) {
        // A worker begins a new incarnation when its lease expires. If a response was sent so recently
        // that it should have renewed the lease, the responses do not reach the worker.
        if !is_first && self.responses.should_have_renewed_lease(now) {
            self.removal.get_or_insert(RemovalReason::IgnoresCommands);
        }
        self.responses.clear_expected_effects();
        self.cached_images.clear();
        self.cached_slot = None;
    }
}
