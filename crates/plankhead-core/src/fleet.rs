//! The machines: what is rented, what it holds, and what the cloud refused.

use crate::easy::Slot;
use crate::job::Resources;
use crate::places::PlacementIndex;
use crate::protocol::{
    CommandReply, Heartbeat, Instance, InstanceStatus, MachineName, MachineType, TaskId, TaskStatus,
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
const MOST_GONE: usize = 16_384;
/// A lease that runs out this soon after an answer was not renewed by it.
const DEAF: Duration = Duration::from_millis(4500);
/// Reports in a row that may show nothing of what they were told.
const MOST_UNHEEDED: u32 = 3;
/// Commands in a row without an answer after which a machine whose report is late
/// is lost.
const MOST_UNANSWERED: u32 = 2;
/// Machines asked at a time why their reports are late.
const MOST_INQUIRIES: usize = 64;
/// The share of a lease in which a worker is sent to look for another node once.
const SENT_OFF: f64 = 0.6;
/// Lists in a row that lack a machine that is there after all.
const MOST_UNLISTED: u32 = 2;
/// One machine in so many is few.
const FEW: usize = 50;
/// What a peer tells of a machine is believed for so long.
const ELSEWHERE: Duration = Duration::from_secs(6);
/// Errors in a row after which a machine is retired.
const MOST_ERRORS: u32 = 3;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    pub rig: String,
    pub zone: String,
    pub spot: bool,
}

impl Pool {
    /// The pool that a report names.
    fn of(report: &Heartbeat) -> Self {
        Self { rig: report.machine_type.to_string(), zone: report.zone.to_string(), spot: report.spot }
    }

    fn is_of(&self, report: &Heartbeat) -> bool {
        *self.rig == *report.machine_type && *self.zone == *report.zone && self.spot == report.spot
    }
}

#[derive(Debug, Clone, Default)]
struct CapacityBackoff {
    refused_until: Duration,
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
    pub since: Duration,
    /// The newest report's (shift, tick).
    pub newest: Option<(u64, u64)>,
    pub report: Option<Heartbeat>,
    /// When it last reported, or when we began to wait for it.
    pub heard: Duration,
    /// When a report came that was newer than all before, whatever its token.
    pub news: Duration,
    /// When it last reached this node itself.
    pub direct: Duration,
    /// When a peer last told that it hears this machine, whose reports are late here.
    pub heard_elsewhere: Option<Duration>,
    /// When its silence was last excused.
    pub excused: Duration,
    /// Its last report came through a sibling.
    pub relayed: bool,
    pub notice: bool,
    pub listed: bool,
    /// It was up once, by the list or by the attempts placed on it, even if
    /// this leader has not heard from it.
    pub was_up: bool,
    /// Lists in a row that lacked it after it had been listed.
    pub unlisted: u32,
    /// Images that it holds, the latest used first.
    pub images: VecDeque<u32>,
    /// How passes see it; None: to be looked at anew.
    pub slot: Option<Slot>,
    /// It is there for certain: a report carried this leader's own token, or it
    /// answered a command. A report without the token may be a late copy.
    pub proven: bool,
    pub errors: u32,
    pub leaving: Option<RemovalReason>,
    /// No starts before this time, since the worker refused one for room.
    pub full_until: Duration,
    /// When it was last answered in its present session.
    pub answered: Option<Duration>,
    /// Runs and kills in that answer: the next report must show them.
    pub asked: Vec<(TaskId, u64, bool)>,
    /// Reports in a row that showed nothing of what was asked.
    pub unheeded: u32,
    /// When it was last told to look for another leader.
    pub sent_off: Option<Duration>,
    /// A direct command is on its way.
    pub busy: bool,
    /// Direct commands in a row that got no answer.
    pub unanswered: u32,
    /// Direct `run` commands that may still be carried out, with their shift.
    pub unconfirmed_runs: Vec<(TaskId, u64, u64)>,
    /// When it was last without any task.
    pub idle_since: Option<Duration>,
}

impl Machine {
    pub fn shift(&self) -> Option<u64> {
        self.newest.map(|(shift, _)| shift)
    }

    pub fn up(&self) -> bool {
        self.proven && self.leaving.is_none()
    }

    /// Whether the cloud has left it out of its list long enough to be gone.
    pub fn is_unlisted(&self) -> bool {
        self.unlisted >= MOST_UNLISTED
    }

    /// Whether a task placed there now might wait: its report is late, or what it
    /// was told last does not show.
    pub fn doubtful(&self, now: Duration, gap: Duration) -> bool {
        now.saturating_sub(self.heard) > gap || self.unanswered > 0 || self.unheeded > 0
    }

    /// Whether the newest report lists an attempt.
    pub fn lists(&self, task: &TaskId, attempt: u64) -> bool {
        let listed =
            |report: &Heartbeat| report.tasks.iter().any(|l| l.task == *task && l.attempt == attempt);
        self.report.as_ref().is_some_and(listed)
    }

    /// Whether a direct start of the attempt may still be carried out.
    pub fn has_unconfirmed_run(&self, task: &TaskId, attempt: u64) -> bool {
        self.unconfirmed_runs.iter().any(|(t, n, _)| t == task && *n == attempt)
    }

    /// Whether a command may be sent straight to the worker. Who reaches us only through a
    /// sibling is not reached by us either: a command might be held and carried out long
    /// after.
    pub fn takes_commands(&self) -> bool {
        !self.busy && !self.address.is_empty() && self.leaving.is_none() && !self.relayed
    }

    /// A direct command with these starts is sent; tells where to.
    pub fn begin_command(&mut self, runs: &[(TaskId, u64)]) -> Arc<str> {
        let shift = self.shift().unwrap_or_default();
        self.busy = true;
        self.unconfirmed_runs.extend(runs.iter().map(|(task, attempt)| (task.clone(), *attempt, shift)));
        self.address.clone()
    }

    /// What came of a direct command.
    pub fn end_command(&mut self, shift: u64, runs: &[(TaskId, u64)], reply: &CommandReply) {
        self.busy = false;
        if !matches!(reply, CommandReply::Answered(_)) {
            self.unanswered += 1;
        }
        if !matches!(reply, CommandReply::Unanswered) {
            self.unconfirmed_runs.retain(|(t, n, s)| *s != shift || !runs.contains(&(t.clone(), *n)));
        }
    }

    /// Whether the worker is to look for another node, once in a while: where `adrift`,
    /// somebody else may be entitled by now. Who finds nobody comes back before its lease
    /// runs out.
    pub fn is_sent_off(&mut self, adrift: bool, lease: Duration, now: Duration) -> bool {
        let patience = lease.mul_f64(SENT_OFF);
        let due = adrift && self.sent_off.is_none_or(|at| now.saturating_sub(at) > patience);
        if due {
            self.sent_off = Some(now);
        }
        due
    }

    /// Notes what an answer to a report asked for. The first that a node hears of a machine
    /// may be an old copy, of an earlier session: its answer reaches nobody, and who then
    /// reports a later session or nothing of what was asked is not deaf for that.
    pub fn note_answer(&mut self, orders: &[WorkerCommand], now: Duration) {
        if self.proven {
            self.answered = Some(now);
            self.asked = orders.iter().filter_map(WorkerCommand::expected_effect).collect();
        }
    }

    /// Whether the report shows at least one of the orders in the last answer,
    /// if there were any.
    fn heeds(&self, report: &Heartbeat) -> bool {
        let shown = |(task, attempt, run): &(TaskId, u64, bool)| {
            let listed = report.tasks.iter().find(|l| l.task == *task && l.attempt == *attempt);
            match listed.map(|l| l.status) {
                Some(TaskStatus::Exited(_) | TaskStatus::Checkpointing) => true,
                Some(_) => *run,
                None => !*run,
            }
        };
        self.asked.is_empty() || self.asked.iter().any(shown)
    }
}

#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub rigs: BTreeMap<String, MachineType>,
    pub machines: BTreeMap<MachineName, Machine>,
    gone: BTreeSet<MachineName>,
    /// Machines whose return a former leader had begun, known or not.
    returning: BTreeSet<MachineName>,
    gone_order: VecDeque<MachineName>,
    lessons: HashMap<Pool, CapacityBackoff>,
}

impl Fleet {
    pub fn resources(&self, rig: &str) -> Option<Resources> {
        let rig = self.rigs.get(rig)?;
        Some(Resources { cpus: rig.cpus, gpus: rig.gpus, ram_gb: rig.ram })
    }

    fn insert(
        &mut self,
        name: &MachineName,
        address: Arc<str>,
        pool: Pool,
        since: Duration,
        now: Duration,
    ) -> &mut Machine {
        let leaving = self.returning.contains(name).then_some(RemovalReason::ReturnInherited);
        self.machines.entry(name.clone()).or_insert_with(|| Machine {
            name: name.clone(),
            address,
            pool,
            since,
            newest: None,
            report: None,
            heard: now,
            news: now,
            direct: now,
            excused: Duration::ZERO,
            relayed: false,
            heard_elsewhere: None,
            notice: false,
            listed: false,
            was_up: false,
            unlisted: 0,
            images: VecDeque::new(),
            slot: None,
            proven: false,
            errors: 0,
            leaving,
            full_until: Duration::ZERO,
            answered: None,
            asked: Vec::new(),
            unheeded: 0,
            sent_off: None,
            busy: false,
            unanswered: 0,
            unconfirmed_runs: Vec::new(),
            idle_since: None,
        })
    }

    /// A machine that attempts are on, although nobody has told of it yet.
    pub fn expect(&mut self, host: &MachineName, now: Duration) {
        let pool = Pool { rig: String::new(), zone: String::new(), spot: false };
        if !self.gone.contains(host) {
            let machine = self.insert(host, "".into(), pool, now, now);
            machine.listed = true;
            machine.was_up = true;
        }
    }

    /// Machines whose return may be carried out at any time: nothing is placed there.
    pub fn returning(&mut self, hosts: &[MachineName]) {
        for host in hosts.iter().filter(|host| !self.gone.contains(*host)) {
            self.returning.insert(host.clone());
            if let Some(machine) = self.machines.get_mut(host) {
                machine.leaving.get_or_insert(RemovalReason::ReturnInherited);
            }
        }
    }

    pub fn is_gone(&self, host: &MachineName) -> bool {
        self.gone.contains(host)
    }

    /// Takes in a report that came at `now` to the leader under the token `own`.
    pub fn observe(&mut self, report: &Heartbeat, own: u64, now: Duration) -> HeartbeatNews {
        if self.gone.contains(&report.machine) {
            return HeartbeatNews::Stale;
        }
        if !self.machines.contains_key(&report.machine) {
            self.insert(&report.machine, report.address.clone(), Pool::of(report), now, now);
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else { return HeartbeatNews::Stale };
        if machine.newest.is_some_and(|newest| (report.incarnation, report.sequence) <= newest) {
            return HeartbeatNews::Stale;
        }
        let first = machine.newest.is_none();
        let alike = |r: &Heartbeat| {
            (r.incarnation, r.token) == (report.incarnation, report.token) && r.tasks == report.tasks
        };
        let same = machine.report.as_ref().is_some_and(alike);
        if machine.shift() != Some(report.incarnation) {
            // Its lease ran out although we answered: it does not hear us.
            let lately = machine.answered.is_some_and(|at| now.saturating_sub(at) < DEAF);
            if !first && lately {
                machine.leaving.get_or_insert(RemovalReason::IgnoresCommands);
            }
            // Orders of an earlier session are refused from now on.
            machine.unconfirmed_runs.retain(|(_, _, shift)| *shift >= report.incarnation);
            machine.images.clear();
            machine.asked.clear();
            machine.slot = None;
        }
        if machine.heeds(report) {
            machine.unheeded = 0;
        } else {
            machine.unheeded += 1;
            if machine.unheeded >= MOST_UNHEEDED {
                machine.leaving.get_or_insert(RemovalReason::IgnoresCommands);
            }
        }
        machine.asked.clear();
        machine.unanswered = 0;
        // A later one is of the same term, or of one whose leader has taken this one's place.
        machine.proven |= report.token >= own;
        // What carries another token may be a late copy: no sign of life.
        if machine.proven || first {
            machine.heard = now;
        }
        machine.newest = Some((report.incarnation, report.sequence));
        machine.news = now;
        if !machine.pool.is_of(report) {
            machine.pool = Pool::of(report);
            machine.slot = None;
        }
        machine.address = report.address.clone();
        machine.notice |= report.preemption_notice.is_some();
        machine.report = Some(report.clone());
        if same {
            HeartbeatNews::Unchanged
        } else {
            HeartbeatNews::Changed
        }
    }

    /// Takes in a report that answers a command of ours, so that it is no copy.
    pub fn answered(&mut self, report: &Heartbeat, own: u64, now: Duration) -> HeartbeatNews {
        if let Some(machine) = self.machines.get_mut(&report.machine) {
            machine.proven = true;
            machine.unanswered = 0;
            // The answer to its last report may still be under way.
            machine.asked.clear();
        }
        self.observe(report, own, now)
    }

    pub fn hired(&mut self, names: &[MachineName], pool: &Pool, asked: u32, now: Duration) {
        for name in names.iter().filter(|n| !self.gone.contains(*n)).cloned().collect::<Vec<_>>() {
            self.insert(&name, "".into(), pool.clone(), now, now);
        }
        if (names.len() as u32) < asked {
            self.refused(pool, now);
        }
    }

    pub fn refused(&mut self, pool: &Pool, now: Duration) {
        let held = self.held(pool);
        let lesson = self.lessons.entry(pool.clone()).or_default();
        lesson.refused_until = now + REFUSAL;
        lesson.limit = Some((held, now));
    }

    fn held(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|m| m.pool == *pool).count() as u32
    }

    pub fn open(&self, pool: &Pool, now: Duration) -> bool {
        self.lessons.get(pool).is_none_or(|l| l.refused_until <= now)
    }

    /// The machines of this type that the cloud is known to have at most, if
    /// every pool of the type has refused lately.
    pub fn learned(&self, rig: &str, now: Duration) -> Option<u32> {
        let mut sum = 0;
        for pool in self.pools(rig) {
            let (limit, at) = self.lessons.get(&pool)?.limit?;
            if now.saturating_sub(at) > LESSON {
                return None;
            }
            sum += limit.max(self.held(&pool));
        }
        Some(sum)
    }

    pub fn pools(&self, rig: &str) -> Vec<Pool> {
        let Some(found) = self.rigs.get(rig) else { return Vec::new() };
        let both =
            |zone: &String| [true, false].map(|spot| Pool { rig: rig.to_string(), zone: zone.clone(), spot });
        found.zones.iter().flat_map(both).collect()
    }

    /// Machines of the type that are not on their way out.
    pub fn count(&self, rig: &str) -> u32 {
        self.machines.values().filter(|m| m.pool.rig == rig && m.leaving.is_none() && !m.notice).count()
            as u32
    }

    /// Machines of the pool that are not on their way out.
    pub fn staying(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|m| m.pool == *pool && m.leaving.is_none()).count() as u32
    }

    /// Takes in a whole machine list; it may be old, so absence only makes
    /// suspicious.
    pub fn listed(&mut self, hosts: &[Instance], now: Duration) {
        let mut names = BTreeSet::new();
        for host in hosts {
            names.insert(host.name.clone());
            if self.gone.contains(&host.name) {
                continue;
            }
            let pool = Pool { rig: host.machine_type.clone(), zone: host.zone.clone(), spot: host.spot };
            let since = now.saturating_sub(host.age);
            let machine = self.insert(&host.name, host.address.clone(), pool, since, now);
            machine.since = since;
            machine.pool = Pool { rig: host.machine_type.clone(), zone: host.zone.clone(), spot: host.spot };
            machine.listed = true;
            // From now on its silence counts.
            if host.status == InstanceStatus::Running && !std::mem::replace(&mut machine.was_up, true) {
                machine.heard = machine.heard.max(now);
            }
            machine.unlisted = 0;
            if machine.address.is_empty() {
                machine.address = host.address.clone();
            }
            if host.status == InstanceStatus::Failed {
                machine.leaving.get_or_insert(RemovalReason::InstanceFailed);
            }
        }
        for machine in self.machines.values_mut() {
            if machine.listed && !names.contains(&machine.name) {
                machine.unlisted += 1;
            }
        }
    }

    /// Silence up to now was not the machines' fault.
    pub fn forgive(&mut self, now: Duration) {
        for machine in self.machines.values_mut() {
            machine.heard = now;
            machine.direct = now;
            machine.unanswered = 0;
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
    pub fn judge(&mut self, now: Duration, settings: &Settings) -> usize {
        let mut judged = 0;
        let mut zones: HashMap<String, (u32, u32)> = HashMap::new();
        let (missed, lease) = (settings.heartbeat_timeout(), settings.worker_lease);
        let was_up = |m: &&Machine| m.leaving.is_none() && (m.proven || m.was_up);
        for machine in self.machines.values().filter(was_up) {
            let (quiet, all) = zones.entry(machine.pool.zone.clone()).or_default();
            *quiet += u32::from(now.saturating_sub(machine.direct) > missed);
            *all += 1;
        }
        let short = settings.failover_heartbeat_timeout();
        // Many at once may be out of this node's reach only, and come through a
        // sibling.
        let mute = |m: &Machine| m.unanswered >= MOST_UNANSWERED && now.saturating_sub(m.heard) > missed;
        let up = self.machines.values().filter(was_up).count();
        let few = self.machines.values().filter(was_up).filter(|m| mute(m)).count() * FEW <= up;
        for machine in self.machines.values_mut().filter(|m| m.leaving.is_none()) {
            let (silent_here, all) = zones.get(&machine.pool.zone).copied().unwrap_or_default();
            let boot = self.rigs.get(&machine.pool.rig).map_or(Duration::from_secs(60), |r| r.boot_time);
            let cut = silent_here > 2 && silent_here * 2 > all;
            let silent = if cut { short.max(lease + boot / 2) } else { short };
            let quiet = now.saturating_sub(machine.heard);
            // Our link's silence and not its own, for as long as its lease may last.
            let elsewhere = machine.heard_elsewhere.is_some_and(|at| now.saturating_sub(at) < ELSEWHERE);
            let spared = elsewhere && quiet < silent + lease;
            let mute = !cut && few && mute(machine);
            // A machine that was taken before a new leader came never reports to
            // it: only silence tells, not the patience for a boot.
            let reason = if machine.newest.is_none() && !machine.was_up {
                let patience = boot.mul_f64(BOOT_PATIENCE);
                (now.saturating_sub(machine.since) > patience && quiet > silent)
                    .then_some(RemovalReason::BootTimeout)
            } else if (quiet > silent || mute) && !spared {
                Some(RemovalReason::HeartbeatTimeout)
            } else if machine.is_unlisted() && quiet > missed.max(silent / 2) {
                Some(RemovalReason::NotInInventory)
            } else if machine.errors >= MOST_ERRORS {
                Some(RemovalReason::Faulty)
            } else {
                None
            };
            if let Some(reason) = reason {
                machine.leaving = Some(reason);
                judged += 1;
            }
        }
        judged
    }

    /// Marks machines that have been silent for longer than their lease; `few`: only if
    /// they are the fewer.
    pub fn judge_blind(&mut self, now: Duration, silence: Duration, few: bool) {
        let there = |m: &Machine| m.leaving.is_none() && (m.newest.is_some() || m.was_up);
        let silent = |m: &Machine| there(m) && now.saturating_sub(m.heard.max(m.news)) > silence;
        let count = |which: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| which(m)).count();
        if few && count(&silent) * 2 > count(&there) {
            return;
        }
        for machine in self.machines.values_mut().filter(|m| silent(m)) {
            machine.leaving = Some(RemovalReason::HeartbeatTimeout);
        }
    }

    /// Machines whose report is late and that are to be asked why: not too many at a time,
    /// and only `own` ones.
    pub fn to_inquire(
        &self,
        now: Duration,
        gap: Duration,
        own: impl Fn(&Machine) -> bool,
    ) -> Vec<MachineName> {
        let asked = self.machines.values().filter(|m| m.busy).count();
        let asks = |m: &&Machine| m.up() && m.takes_commands() && m.unanswered < MOST_UNANSWERED;
        let late = |m: &&Machine| now.saturating_sub(m.heard) > gap && own(m);
        let names = self.machines.values().filter(asks).filter(late).map(|m| m.name.clone());
        names.take(MOST_INQUIRIES.saturating_sub(asked)).collect()
    }

    /// The machine's worker has to find another node through no fault of its own: it is given
    /// the time, once for every time that it is heard.
    pub fn excuse(&mut self, host: &str, now: Duration) {
        if let Some(machine) = self.machines.get_mut(host).filter(|machine| machine.news >= machine.excused) {
            machine.excused = now;
            machine.heard = machine.heard.max(now);
            machine.direct = machine.direct.max(now);
        }
    }

    /// The holder of a machine's shard heard it at that time, with nothing new.
    pub fn heard_by_holder(&mut self, host: &str, at: Duration) {
        if let Some(machine) = self.machines.get_mut(host).filter(|machine| machine.proven) {
            machine.heard = machine.heard.max(at);
            machine.news = machine.news.max(at);
            machine.direct = machine.direct.max(at);
            machine.unanswered = 0;
            machine.relayed = false;
        }
    }

    /// The cloud confirmed the release.
    pub fn released(&mut self, name: &MachineName) {
        self.machines.remove(name);
        self.returning.remove(name);
        if self.gone.insert(name.clone()) {
            self.gone_order.push_back(name.clone());
        }
        while self.gone_order.len() > MOST_GONE {
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
    }

    /// Remembers that the machine has the image or fetches it.
    pub fn imaged(&mut self, host: &str, image: u32, places: &PlacementIndex) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        if machine.images.front() == Some(&image) {
            return;
        }
        let cache = self.rigs.get(&machine.pool.rig).map_or(0.0, |r| r.image_cache_gb);
        let (known, before) = (machine.images.contains(&image), machine.images.len());
        machine.images.retain(|i| *i != image);
        machine.images.push_front(image);
        let mut sum = places.size(image);
        let more = machine.images.iter().skip(1).take_while(|other| {
            sum += places.size(**other);
            sum <= cache
        });
        let kept = 1 + more.count();
        machine.images.truncate(kept);
        if !known || kept < before {
            machine.slot = None;
        }
    }
}
