//! The machines: what is rented, what it holds, and what the cloud refused.

use crate::jobs::job::Resources;
use crate::placement::backfill::Slot;
use crate::placement::index::PlacementIndex;
use crate::protocol::{
    CommandReply, Heartbeat, Instance, InstanceStatus, MachineName, MachineType, Pool, TaskId, TaskStatus,
    WorkerCommand,
};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A pool is refused for this long before it is asked again.
const REFUSAL: Duration = Duration::from_secs(12);
/// What a refusal taught about a pool's size is believed this long.
const LESSON: Duration = Duration::from_secs(150);
/// A machine is given this many times its usual boot time.
const BOOT_PATIENCE: f64 = 2.6;
/// Names of machines that are gone are remembered up to this number: a fleet of
/// two thousand that loses some to the spot market for hours.
const MAX_GONE: usize = 16_384;
/// A lease that runs out this soon after an answer was not renewed by it.
const DEAF: Duration = Duration::from_millis(4500);
/// Reports in a row that may show nothing of what they were told.
const MAX_UNHEEDED: u32 = 3;
/// Commands in a row without an answer after which a machine whose report is late
/// is lost.
const MAX_UNANSWERED: u32 = 2;
/// Machines asked at a time why their reports are late.
const MAX_INQUIRIES: usize = 64;
/// The share of a lease in which a worker is sent to look for another node once.
const SENT_OFF: f64 = 0.6;
/// Lists in a row that lack a machine that is there after all.
const MAX_UNLISTED: u32 = 2;
/// One machine in so many is few.
const FEW: usize = 50;
/// What a peer tells of a machine is believed for so long.
const ELSEWHERE: Duration = Duration::from_secs(6);
/// Errors in a row after which a machine is retired.
const MAX_ERRORS: u32 = 3;

#[derive(Debug, Clone, Default)]
struct CapacityBackoff {
    retry_at: Duration,
    /// The most machines the pool gave, and when that was learned.
    limit: Option<(u32, Duration)>,
}

/// Why a machine goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalReason {
    Surplus,
    HeartbeatTimeout,
    BootTimeout,
    InstanceFailed,
    Faulty,
    CancellationDue,
    NotInInventory,
    /// It reports, but what we tell it does not arrive.
    IgnoresCommands,
    /// It lost attempts that it had listed.
    LostAttempts,
    /// A former leader had begun to give it back.
    ReturnInherited,
}

/// What a report is to this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatNews {
    /// A late copy, or of a machine that is gone.
    Stale,
    /// Of the same tasks in the same states as the one before.
    Unchanged,
    Changed,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: MachineName,
    pub address: Arc<str>,
    pub pool: Pool,
    pub rented_at: Duration,
    /// The newest report's (shift, tick).
    pub last_heartbeat_id: Option<(u64, u64)>,
    pub last_heartbeat: Option<Heartbeat>,
    /// When it last reported, or when we began to wait for it.
    pub last_heard_at: Duration,
    /// When a report came that was newer than all before, whatever its token.
    pub last_new_heartbeat_at: Duration,
    /// When it last reached this node itself.
    pub last_direct_at: Duration,
    /// When a peer last told that it hears this machine, whose reports are late here.
    pub heard_by_peer_at: Option<Duration>,
    /// When its silence was last excused.
    pub rerouted_at: Duration,
    /// Its last report came through a sibling.
    pub is_relayed: bool,
    pub has_preemption_notice: bool,
    pub in_inventory: bool,
    /// It was up once, by the list or by the attempts placed on it, even if
    /// this leader has not heard from it.
    pub known_up: bool,
    /// Lists in a row that lacked it after it had been listed.
    pub missed_inventories: u32,
    /// Images that it holds, the latest used first.
    pub cached_images: VecDeque<u32>,
    /// How passes see it; None: to be looked at anew.
    pub cached_slot: Option<Slot>,
    /// It is there for certain: a report carried this leader's own token, or it
    /// answered a command. A report without the token may be a late copy.
    pub confirmed: bool,
    pub consecutive_errors: u32,
    pub removal: Option<RemovalReason>,
    /// No starts before this time, since the worker refused one for room.
    pub no_starts_until: Duration,
    /// When it was last answered in its present session.
    pub answered_at: Option<Duration>,
    /// Runs and kills in that answer: the next report must show them.
    pub expected_effects: Vec<(TaskId, u64, bool)>,
    /// Reports in a row that showed nothing of what was asked.
    pub ignored_responses: u32,
    /// When it was last told to look for another leader.
    pub redirected_at: Option<Duration>,
    /// A direct command is on its way.
    pub command_in_flight: bool,
    /// Direct commands in a row that got no answer.
    pub unanswered_commands: u32,
    /// Direct `run` commands that may still be carried out, with their shift.
    pub unconfirmed_starts: Vec<(TaskId, u64, u64)>,
    /// When it was last without any task.
    pub idle_since: Option<Duration>,
}

impl Machine {
    pub fn incarnation(&self) -> Option<u64> {
        self.last_heartbeat_id.map(|(incarnation, _)| incarnation)
    }

    pub fn is_up(&self) -> bool {
        self.confirmed && self.removal.is_none()
    }

    /// Whether the cloud has left it out of its list long enough to be gone.
    pub fn is_unlisted(&self) -> bool {
        self.missed_inventories >= MAX_UNLISTED
    }

    /// Whether a task placed there now might wait: its report is late, or what it
    /// was told last does not show.
    pub fn is_start_doubtful(&self, now: Duration, gap: Duration) -> bool {
        now.saturating_sub(self.last_heard_at) > gap
            || self.unanswered_commands > 0
            || self.ignored_responses > 0
    }

    /// Whether the newest report lists an attempt.
    pub fn lists(&self, task: &TaskId, attempt: u64) -> bool {
        let listed =
            |heartbeat: &Heartbeat| heartbeat.tasks.iter().any(|l| l.task == *task && l.attempt == attempt);
        self.last_heartbeat.as_ref().is_some_and(listed)
    }

    /// Whether a direct start of the attempt may still be carried out.
    pub fn has_unconfirmed_start(&self, task: &TaskId, attempt: u64) -> bool {
        self.unconfirmed_starts.iter().any(|(t, n, _)| t == task && *n == attempt)
    }

    /// Whether a command may be sent straight to the worker. Who reaches us only through a
    /// sibling is not reached by us either: a command might be held and carried out long
    /// after.
    pub fn takes_commands(&self) -> bool {
        !self.command_in_flight && !self.address.is_empty() && self.removal.is_none() && !self.is_relayed
    }

    /// A direct command with these starts is sent; tells where to.
    pub fn begin_command(&mut self, starts: &[(TaskId, u64)]) -> Arc<str> {
        let incarnation = self.incarnation().unwrap_or_default();
        self.command_in_flight = true;
        self.unconfirmed_starts
            .extend(starts.iter().map(|(task, attempt)| (task.clone(), *attempt, incarnation)));
        self.address.clone()
    }

    /// What came of a direct command.
    pub fn end_command(&mut self, incarnation: u64, starts: &[(TaskId, u64)], reply: &CommandReply) {
        self.command_in_flight = false;
        if !matches!(reply, CommandReply::Answered(_)) {
            self.unanswered_commands += 1;
        }
        if !matches!(reply, CommandReply::Unanswered) {
            self.unconfirmed_starts
                .retain(|(t, n, s)| *s != incarnation || !starts.contains(&(t.clone(), *n)));
        }
    }

    /// Whether the worker is to look for another node, once in a while: where `is_cut_off`,
    /// somebody else may be entitled by now. Who finds nobody comes back before its lease
    /// runs out.
    pub fn take_redirect(&mut self, is_cut_off: bool, lease: Duration, now: Duration) -> bool {
        let patience = lease.mul_f64(SENT_OFF);
        let due = is_cut_off && self.redirected_at.is_none_or(|at| now.saturating_sub(at) > patience);
        if due {
            self.redirected_at = Some(now);
        }
        due
    }

    /// Notes what an answer to a report asked for. The first that a node hears of a machine
    /// may be an old copy, of an earlier session: its answer reaches nobody, and who then
    /// reports a later session or nothing of what was asked is not deaf for that.
    pub fn record_response(&mut self, commands: &[WorkerCommand], now: Duration) {
        if self.confirmed {
            self.answered_at = Some(now);
            self.expected_effects = commands.iter().filter_map(WorkerCommand::expected_effect).collect();
        }
    }

    /// Whether the report shows at least one of the orders in the last answer,
    /// if there were any.
    fn shows_expected_effect(&self, heartbeat: &Heartbeat) -> bool {
        let shown = |(task, attempt, run): &(TaskId, u64, bool)| {
            let listed = heartbeat.tasks.iter().find(|l| l.task == *task && l.attempt == *attempt);
            match listed.map(|l| l.status) {
                Some(TaskStatus::Exited(_) | TaskStatus::Checkpointing) => true,
                Some(_) => *run,
                None => !*run,
            }
        };
        self.expected_effects.is_empty() || self.expected_effects.iter().any(shown)
    }
}

#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub machine_types: BTreeMap<String, MachineType>,
    pub machines: BTreeMap<MachineName, Machine>,
    removed: BTreeSet<MachineName>,
    /// Machines whose return a former leader had begun, known or not.
    returns_inherited: BTreeSet<MachineName>,
    removed_order: VecDeque<MachineName>,
    capacity_backoffs: HashMap<Pool, CapacityBackoff>,
}

impl Fleet {
    pub fn resources(&self, machine_type: &str) -> Option<Resources> {
        let machine_type = self.machine_types.get(machine_type)?;
        Some(Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram })
    }

    fn insert(
        &mut self,
        name: &MachineName,
        address: Arc<str>,
        pool: Pool,
        since: Duration,
        now: Duration,
    ) -> &mut Machine {
        let leaving = self.returns_inherited.contains(name).then_some(RemovalReason::ReturnInherited);
        self.machines.entry(name.clone()).or_insert_with(|| Machine {
            name: name.clone(),
            address,
            pool,
            rented_at: since,
            last_heartbeat_id: None,
            last_heartbeat: None,
            last_heard_at: now,
            last_new_heartbeat_at: now,
            last_direct_at: now,
            rerouted_at: Duration::ZERO,
            is_relayed: false,
            heard_by_peer_at: None,
            has_preemption_notice: false,
            in_inventory: false,
            known_up: false,
            missed_inventories: 0,
            cached_images: VecDeque::new(),
            cached_slot: None,
            confirmed: false,
            consecutive_errors: 0,
            removal: leaving,
            no_starts_until: Duration::ZERO,
            answered_at: None,
            expected_effects: Vec::new(),
            ignored_responses: 0,
            redirected_at: None,
            command_in_flight: false,
            unanswered_commands: 0,
            unconfirmed_starts: Vec::new(),
            idle_since: None,
        })
    }

    /// A machine that attempts are on, although nobody has told of it yet.
    pub fn expect_machine(&mut self, host: &MachineName, now: Duration) {
        let pool = Pool { machine_type: String::new(), zone: String::new(), spot: false };
        if !self.removed.contains(host) {
            let machine = self.insert(host, "".into(), pool, now, now);
            machine.in_inventory = true;
            machine.known_up = true;
        }
    }

    /// Machines whose return may be carried out at any time: nothing is placed there.
    pub fn returns_inherited(&mut self, hosts: &[MachineName]) {
        for host in hosts.iter().filter(|host| !self.removed.contains(*host)) {
            self.returns_inherited.insert(host.clone());
            if let Some(machine) = self.machines.get_mut(host) {
                machine.removal.get_or_insert(RemovalReason::ReturnInherited);
            }
        }
    }

    pub fn is_removed(&self, host: &MachineName) -> bool {
        self.removed.contains(host)
    }

    /// Takes in a report that came at `now` to the leader under the token `own`.
    pub fn observe_heartbeat(&mut self, heartbeat: &Heartbeat, own: u64, now: Duration) -> HeartbeatNews {
        if self.removed.contains(&heartbeat.machine) {
            return HeartbeatNews::Stale;
        }
        if !self.machines.contains_key(&heartbeat.machine) {
            self.insert(&heartbeat.machine, heartbeat.address.clone(), Pool::of(heartbeat), now, now);
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatNews::Stale };
        if machine
            .last_heartbeat_id
            .is_some_and(|newest| (heartbeat.incarnation, heartbeat.sequence) <= newest)
        {
            return HeartbeatNews::Stale;
        }
        let first = machine.last_heartbeat_id.is_none();
        let alike = |r: &Heartbeat| {
            (r.incarnation, r.token) == (heartbeat.incarnation, heartbeat.token) && r.tasks == heartbeat.tasks
        };
        let same = machine.last_heartbeat.as_ref().is_some_and(alike);
        if machine.incarnation() != Some(heartbeat.incarnation) {
            // Its lease ran out although we answered: it does not hear us.
            let lately = machine.answered_at.is_some_and(|at| now.saturating_sub(at) < DEAF);
            if !first && lately {
                machine.removal.get_or_insert(RemovalReason::IgnoresCommands);
            }
            // Orders of an earlier session are refused from now on.
            machine.unconfirmed_starts.retain(|(_, _, incarnation)| *incarnation >= heartbeat.incarnation);
            machine.cached_images.clear();
            machine.expected_effects.clear();
            machine.cached_slot = None;
        }
        if machine.shows_expected_effect(heartbeat) {
            machine.ignored_responses = 0;
        } else {
            machine.ignored_responses += 1;
            if machine.ignored_responses >= MAX_UNHEEDED {
                machine.removal.get_or_insert(RemovalReason::IgnoresCommands);
            }
        }
        machine.expected_effects.clear();
        machine.unanswered_commands = 0;
        // A later one is of the same term, or of one whose leader has taken this one's place.
        machine.confirmed |= heartbeat.token >= own;
        // What carries another token may be a late copy: no sign of life.
        if machine.confirmed || first {
            machine.last_heard_at = now;
        }
        machine.last_heartbeat_id = Some((heartbeat.incarnation, heartbeat.sequence));
        machine.last_new_heartbeat_at = now;
        if !machine.pool.matches(heartbeat) {
            machine.pool = Pool::of(heartbeat);
            machine.cached_slot = None;
        }
        machine.address = heartbeat.address.clone();
        machine.has_preemption_notice |= heartbeat.preemption_notice.is_some();
        machine.last_heartbeat = Some(heartbeat.clone());
        if same {
            HeartbeatNews::Unchanged
        } else {
            HeartbeatNews::Changed
        }
    }

    /// Takes in a report that answers a command of ours, so that it is no copy.
    pub fn observe_command_reply(&mut self, heartbeat: &Heartbeat, own: u64, now: Duration) -> HeartbeatNews {
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.confirmed = true;
            machine.unanswered_commands = 0;
            // The answer to its last report may still be under way.
            machine.expected_effects.clear();
        }
        self.observe_heartbeat(heartbeat, own, now)
    }

    pub fn rented(&mut self, names: &[MachineName], pool: &Pool, asked: u32, now: Duration) {
        for name in names.iter().filter(|n| !self.removed.contains(*n)).cloned().collect::<Vec<_>>() {
            self.insert(&name, "".into(), pool.clone(), now, now);
        }
        if (names.len() as u32) < asked {
            self.capacity_refused(pool, now);
        }
    }

    pub fn capacity_refused(&mut self, pool: &Pool, now: Duration) {
        let held = self.machines_held(pool);
        let lesson = self.capacity_backoffs.entry(pool.clone()).or_default();
        lesson.retry_at = now + REFUSAL;
        lesson.limit = Some((held, now));
    }

    fn machines_held(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|m| m.pool == *pool).count() as u32
    }

    pub fn may_rent_from(&self, pool: &Pool, now: Duration) -> bool {
        self.capacity_backoffs.get(pool).is_none_or(|l| l.retry_at <= now)
    }

    /// The machines of this type that the cloud is known to have at most, if
    /// every pool of the type has refused lately.
    pub fn known_capacity(&self, machine_type: &str, now: Duration) -> Option<u32> {
        let mut sum = 0;
        for pool in self.pools(machine_type) {
            let (limit, at) = self.capacity_backoffs.get(&pool)?.limit?;
            if now.saturating_sub(at) > LESSON {
                return None;
            }
            sum += limit.max(self.machines_held(&pool));
        }
        Some(sum)
    }

    pub fn pools(&self, machine_type: &str) -> Vec<Pool> {
        let Some(found) = self.machine_types.get(machine_type) else { return Vec::new() };
        let both = |zone: &String| {
            [true, false].map(|spot| Pool {
                machine_type: machine_type.to_string(),
                zone: zone.clone(),
                spot,
            })
        };
        found.zones.iter().flat_map(both).collect()
    }

    /// Machines of the type that are not on their way out.
    pub fn machines_of_type(&self, machine_type: &str) -> u32 {
        self.machines
            .values()
            .filter(|m| {
                m.pool.machine_type == machine_type && m.removal.is_none() && !m.has_preemption_notice
            })
            .count() as u32
    }

    /// Machines of the pool that are not on their way out.
    pub fn machines_staying(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|m| m.pool == *pool && m.removal.is_none()).count() as u32
    }

    /// Takes in a whole machine list; it may be old, so absence only makes
    /// suspicious.
    pub fn observe_inventory(&mut self, hosts: &[Instance], now: Duration) {
        let mut names = BTreeSet::new();
        for host in hosts {
            names.insert(host.name.clone());
            if self.removed.contains(&host.name) {
                continue;
            }
            let pool =
                Pool { machine_type: host.machine_type.clone(), zone: host.zone.clone(), spot: host.spot };
            let since = now.saturating_sub(host.age);
            let machine = self.insert(&host.name, host.address.clone(), pool, since, now);
            machine.rented_at = since;
            machine.pool =
                Pool { machine_type: host.machine_type.clone(), zone: host.zone.clone(), spot: host.spot };
            machine.in_inventory = true;
            // From now on its silence counts.
            if host.status == InstanceStatus::Running && !std::mem::replace(&mut machine.known_up, true) {
                machine.last_heard_at = machine.last_heard_at.max(now);
            }
            machine.missed_inventories = 0;
            if machine.address.is_empty() {
                machine.address = host.address.clone();
            }
            if host.status == InstanceStatus::Failed {
                machine.removal.get_or_insert(RemovalReason::InstanceFailed);
            }
        }
        for machine in self.machines.values_mut() {
            if machine.in_inventory && !names.contains(&machine.name) {
                machine.missed_inventories += 1;
            }
        }
    }

    /// Silence up to now was not the machines' fault.
    pub fn reset_silence(&mut self, now: Duration) {
        for machine in self.machines.values_mut() {
            machine.last_heard_at = now;
            machine.last_direct_at = now;
            machine.unanswered_commands = 0;
        }
    }

    /// Marks machines that must go: silent ones, ones that never came up, ones
    /// that fail everything.
    ///
    /// A zone that falls silent at once is cut off rather than broken: its
    /// machines may be heard through a sibling soon. They are given until their
    /// leases have run out and half of what others would need to boot.
    ///
    /// A machine whose report is late was asked directly: without an answer to
    /// that it is lost, long before a lost answer to a report would excuse it.
    pub fn mark_for_removal(&mut self, now: Duration, settings: &Settings) -> usize {
        let mut judged = 0;
        let mut zones: HashMap<String, (u32, u32)> = HashMap::new();
        let (missed, lease) = (settings.heartbeat_timeout(), settings.worker_lease);
        let was_up = |m: &&Machine| m.removal.is_none() && (m.confirmed || m.known_up);
        for machine in self.machines.values().filter(was_up) {
            let (quiet, all) = zones.entry(machine.pool.zone.clone()).or_default();
            *quiet += u32::from(now.saturating_sub(machine.last_direct_at) > missed);
            *all += 1;
        }
        let short = settings.failover_heartbeat_timeout();
        // Many at once may be out of this node's reach only, and come through a
        // sibling.
        let mute = |m: &Machine| {
            m.unanswered_commands >= MAX_UNANSWERED && now.saturating_sub(m.last_heard_at) > missed
        };
        let up = self.machines.values().filter(was_up).count();
        let few = self.machines.values().filter(was_up).filter(|m| mute(m)).count() * FEW <= up;
        for machine in self.machines.values_mut().filter(|m| m.removal.is_none()) {
            let (silent_here, all) = zones.get(&machine.pool.zone).copied().unwrap_or_default();
            let boot = self
                .machine_types
                .get(&machine.pool.machine_type)
                .map_or(Duration::from_secs(60), |r| r.boot_time);
            let cut = silent_here > 2 && silent_here * 2 > all;
            let silent = if cut { short.max(lease + boot / 2) } else { short };
            let quiet = now.saturating_sub(machine.last_heard_at);
            // Our link's silence and not its own, for as long as its lease may last.
            let elsewhere = machine.heard_by_peer_at.is_some_and(|at| now.saturating_sub(at) < ELSEWHERE);
            let spared = elsewhere && quiet < silent + lease;
            let mute = !cut && few && mute(machine);
            // A machine that was taken before a new leader came never reports to
            // it: only silence tells, not the patience for a boot.
            let reason = if machine.last_heartbeat_id.is_none() && !machine.known_up {
                let patience = boot.mul_f64(BOOT_PATIENCE);
                (now.saturating_sub(machine.rented_at) > patience && quiet > silent)
                    .then_some(RemovalReason::BootTimeout)
            } else if (quiet > silent || mute) && !spared {
                Some(RemovalReason::HeartbeatTimeout)
            } else if machine.is_unlisted() && quiet > missed.max(silent / 2) {
                Some(RemovalReason::NotInInventory)
            } else if machine.consecutive_errors >= MAX_ERRORS {
                Some(RemovalReason::Faulty)
            } else {
                None
            };
            if let Some(reason) = reason {
                machine.removal = Some(reason);
                judged += 1;
            }
        }
        judged
    }

    /// Marks machines that have been silent for longer than their lease; `few`: only if
    /// they are the fewer.
    pub fn mark_silent_beyond_lease(&mut self, now: Duration, silence: Duration, few: bool) {
        let there = |m: &Machine| m.removal.is_none() && (m.last_heartbeat_id.is_some() || m.known_up);
        let silent = |m: &Machine| {
            there(m) && now.saturating_sub(m.last_heard_at.max(m.last_new_heartbeat_at)) > silence
        };
        let count = |which: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| which(m)).count();
        if few && count(&silent) * 2 > count(&there) {
            return;
        }
        for machine in self.machines.values_mut().filter(|m| silent(m)) {
            machine.removal = Some(RemovalReason::HeartbeatTimeout);
        }
    }

    /// Machines whose report is late and that are to be asked why: not too many at a time,
    /// and only `own` ones.
    pub fn machines_to_probe(
        &self,
        now: Duration,
        gap: Duration,
        own: impl Fn(&Machine) -> bool,
    ) -> Vec<MachineName> {
        let asked = self.machines.values().filter(|m| m.command_in_flight).count();
        let requests =
            |m: &&Machine| m.is_up() && m.takes_commands() && m.unanswered_commands < MAX_UNANSWERED;
        let late = |m: &&Machine| now.saturating_sub(m.last_heard_at) > gap && own(m);
        let names = self.machines.values().filter(requests).filter(late).map(|m| m.name.clone());
        names.take(MAX_INQUIRIES.saturating_sub(asked)).collect()
    }

    /// The machine's worker has to find another node through no fault of its own: it is given
    /// the time, once for every time that it is heard.
    pub fn extend_for_reroute(&mut self, host: &str, now: Duration) {
        if let Some(machine) =
            self.machines.get_mut(host).filter(|machine| machine.last_new_heartbeat_at >= machine.rerouted_at)
        {
            machine.rerouted_at = now;
            machine.last_heard_at = machine.last_heard_at.max(now);
            machine.last_direct_at = machine.last_direct_at.max(now);
        }
    }

    /// The holder of a machine's shard heard it at that time, with nothing new.
    pub fn observe_alive(&mut self, host: &str, at: Duration) {
        if let Some(machine) = self.machines.get_mut(host).filter(|machine| machine.confirmed) {
            machine.last_heard_at = machine.last_heard_at.max(at);
            machine.last_new_heartbeat_at = machine.last_new_heartbeat_at.max(at);
            machine.last_direct_at = machine.last_direct_at.max(at);
            machine.unanswered_commands = 0;
            machine.is_relayed = false;
        }
    }

    /// The cloud confirmed the release.
    pub fn instance_released(&mut self, name: &MachineName) {
        self.machines.remove(name);
        self.returns_inherited.remove(name);
        if self.removed.insert(name.clone()) {
            self.removed_order.push_back(name.clone());
        }
        while self.removed_order.len() > MAX_GONE {
            if let Some(oldest) = self.removed_order.pop_front() {
                self.removed.remove(&oldest);
            }
        }
    }

    /// Remembers that the machine has the image or fetches it.
    pub fn record_image(&mut self, host: &str, image: u32, places: &PlacementIndex) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        if machine.cached_images.front() == Some(&image) {
            return;
        }
        let cache = self.machine_types.get(&machine.pool.machine_type).map_or(0.0, |r| r.image_cache_gb);
        let (known, before) = (machine.cached_images.contains(&image), machine.cached_images.len());
        machine.cached_images.retain(|i| *i != image);
        machine.cached_images.push_front(image);
        let mut sum = places.image_size_gb(image);
        let more = machine.cached_images.iter().skip(1).take_while(|other| {
            sum += places.image_size_gb(**other);
            sum <= cache
        });
        let kept = 1 + more.count();
        machine.cached_images.truncate(kept);
        if !known || kept < before {
            machine.cached_slot = None;
        }
    }
}
