//! Random histories of leaders, holders and a state service that loses replies and carries out
//! writes late. At most one process may ever act under each epoch of a shard. After each history, a
//! leader that stays must bring all shards to live holders.

#![allow(clippy::unwrap_used)]

use plankhead_sharding::balance::Candidate;
use plankhead_sharding::record::ShardRecord;
use plankhead_sharding::registry::{RecordWrite, RegistryInput, ShardRegistry, WriteOutcome};
use plankhead_sharding::settings::Settings;
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::{KnownRecord, ShardTable};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const ZONES: [&str; 2] = ["x", "y"];

#[derive(Debug, Clone)]
enum Step {
    /// The node gets the leader's lease.
    Elect(usize),
    /// A node that considers itself the leader plans its next writes.
    Plan(usize),
    /// The state service carries out or refuses an in-flight write. The reply is lost unless
    /// `answered`.
    Deliver { which: usize, answered: bool },
    /// The sender of an in-flight write stops waiting for the reply. The write stays in flight.
    TimeOut(usize),
    /// A node reads the records.
    Read(usize),
    /// A holder confirms its releases to the node that it considers the leader.
    ConfirmReleases { holder: usize, leader: usize },
    /// A node stops or starts. Its boot id changes.
    ToggleNode(usize),
    /// The given number of milliseconds passes.
    AdvanceTime(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS.len();
    let step = prop_oneof![
        1 => host.clone().prop_map(Step::Elect),
        6 => host.clone().prop_map(Step::Plan),
        8 => (0..6usize, prop::bool::weighted(0.8))
            .prop_map(|(which, answered)| Step::Deliver { which, answered }),
        1 => (0..6usize).prop_map(Step::TimeOut),
        8 => host.clone().prop_map(Step::Read),
        3 => (host.clone(), host.clone())
            .prop_map(|(holder, leader)| Step::ConfirmReleases { holder, leader }),
        1 => host.prop_map(Step::ToggleNode),
        3 => (10..3_000u64).prop_map(Step::AdvanceTime),
    ];
    prop::collection::vec(step, 20..160)
}

/// A write that the state service has neither carried out nor refused yet.
struct InFlightWrite {
    leader: usize,
    term: u64,
    write: RecordWrite,
    sent: Duration,
    /// Whether the sender has stopped waiting for the reply.
    timed_out: bool,
}

/// Returns whether the process of a node with a boot id acts as the holder under a record.
type ActRule = fn(&KnownRecord, &str, u64) -> bool;

fn acts_by_record(known: &KnownRecord, host: &str, boot: u64) -> bool {
    known.record.is_held_by(host, boot)
}

/// An intentionally faulty rule: the next holder acts as soon as the move begins.
fn acts_before_named(known: &KnownRecord, host: &str, boot: u64) -> bool {
    let next = known.record.moving.as_ref().is_some_and(|moving| moving.to == host);
    next || acts_by_record(known, host, boot)
}

/// An intentionally faulty rule: a restarted process continues under its former epoch.
fn acts_after_restart(known: &KnownRecord, host: &str, _: u64) -> bool {
    known.record.holder == host
}

struct Model {
    now: Duration,
    revision: u64,
    /// The revision and the owner of the leader's lease.
    lease: (u64, usize),
    records: BTreeMap<ShardId, (String, u64)>,
    registries: BTreeMap<usize, (u64, ShardRegistry)>,
    tables: [ShardTable; 3],
    read_at: [Option<Duration>; 3],
    is_up: [bool; 3],
    /// The boot ids of the nodes.
    boots: [u64; 3],
    in_flight: Vec<InFlightWrite>,
    /// The node and boot id that first acted under each epoch.
    first_actors: BTreeMap<(ShardId, u64), (String, u64)>,
    act_rule: ActRule,
}

impl Model {
    fn new(act_rule: ActRule) -> Self {
        Self {
            now: Duration::from_secs(1_000),
            revision: 10,
            lease: (0, 0),
            records: BTreeMap::new(),
            registries: BTreeMap::new(),
            tables: Default::default(),
            read_at: [None; 3],
            is_up: [true; 3],
            boots: [1, 2, 3],
            in_flight: Vec::new(),
            first_actors: BTreeMap::new(),
            act_rule,
        }
    }

    fn settings() -> Settings {
        let rotate = Some(Duration::from_millis(700));
        Settings { enabled: true, shards_per_zone: 2, rotate, ..Settings::default() }
    }

    fn registry_input(&self, own: usize) -> RegistryInput {
        let up = (0..3).filter(|host| self.is_up[*host] || *host == own);
        let candidate = |host: usize| Candidate {
            host: HOSTS[host].into(),
            zone: ZONES[host % 2].into(),
            capacity: if host == own { 0.3 } else { 1.0 },
        };
        let candidates: Vec<Candidate> = up.map(candidate).collect();
        RegistryInput {
            live_nodes: (0..3)
                .filter(|host| self.is_up[*host] || *host == own)
                .map(|host| (HOSTS[host].to_owned(), self.boots[host]))
                .collect(),
            candidates,
            machines: BTreeMap::new(),
            zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
        }
    }

    fn elect(&mut self, host: usize) {
        self.revision += 1;
        self.lease = (self.revision, host);
        let mut registry = ShardRegistry::new(self.revision, HOSTS[host], Self::settings());
        registry.apply_records(&self.tables[host], self.read_at[host], self.now);
        self.registries.insert(host, (self.revision, registry));
    }

    fn plan(&mut self, leader: usize) {
        let (input, now) = (self.registry_input(leader), self.now);
        let Some((term, registry)) = self.registries.get_mut(&leader) else { return };
        let term = *term;
        for write in registry.next_writes(&input, 3, now) {
            self.in_flight.push(InFlightWrite { leader, term, write, sent: now, timed_out: false });
        }
    }

    fn deliver(&mut self, which: usize, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let InFlightWrite { leader, term, write, sent, timed_out } =
            self.in_flight.remove(which % self.in_flight.len());
        let revision = self.records.get(&write.shard).map_or(0, |(_, revision)| *revision);
        let outcome = if self.lease.0 == term && revision == write.revision {
            self.revision += 1;
            match &write.record {
                Some(record) => {
                    let text = serde_json::to_string(record).unwrap();
                    self.records.insert(write.shard.clone(), (text, self.revision));
                }
                None => drop(self.records.remove(&write.shard)),
            }
            WriteOutcome::Committed { revision: self.revision }
        } else {
            WriteOutcome::Failed
        };
        let current = self.registries.get_mut(&leader).filter(|(current, _)| *current == term);
        if let Some((_, registry)) = current.filter(|_| !timed_out) {
            let outcome = if answered { outcome } else { WriteOutcome::Unknown };
            registry.write_completed(&write, outcome, sent, self.now);
        }
    }

    fn time_out(&mut self, which: usize) {
        let count = self.in_flight.len().max(1);
        let Some(InFlightWrite { leader, term, write, sent, timed_out }) =
            self.in_flight.get_mut(which % count)
        else {
            return;
        };
        let current = self.registries.get_mut(leader).filter(|(current, _)| current == term);
        if let Some((_, registry)) = current.filter(|_| !*timed_out) {
            registry.write_completed(write, WriteOutcome::Unknown, *sent, self.now);
            *timed_out = true;
        }
    }

    fn read(&mut self, host: usize) {
        self.tables[host] = ShardTable::default();
        for (shard, (text, revision)) in &self.records {
            self.tables[host].insert(&shard.key(), text, *revision).unwrap();
        }
        self.read_at[host] = Some(self.now);
        if let Some((_, registry)) = self.registries.get_mut(&host) {
            registry.apply_records(&self.tables[host], self.read_at[host], self.now);
        }
    }

    fn confirm_releases(&mut self, holder: usize, leader: usize) {
        let Some((_, registry)) = self.registries.get_mut(&leader) else { return };
        for (shard, known) in self.tables[holder].iter() {
            if known.record.moving.is_some() && known.record.holder == HOSTS[holder] {
                registry.release_confirmed(shard, HOSTS[holder], known.epoch());
            }
        }
    }

    /// Lets every node act on the records that it has read last, however old they are.
    fn act(&mut self) -> Result<(), TestCaseError> {
        for ((host, boot), table) in HOSTS.iter().zip(self.boots).zip(&self.tables) {
            for (shard, known) in table.iter().filter(|(_, known)| (self.act_rule)(known, host, boot)) {
                let (key, actor) = ((shard.clone(), known.epoch()), ((*host).to_owned(), boot));
                let first = self.first_actors.entry(key.clone()).or_insert_with(|| actor.clone());
                prop_assert_eq!(&*first, &actor, "two processes acted under {:?}", key);
            }
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Elect(host) => self.elect(host),
            Step::Plan(host) => self.plan(host),
            Step::Deliver { which, answered } => self.deliver(which, answered),
            Step::TimeOut(which) => self.time_out(which),
            Step::Read(host) => self.read(host),
            Step::ConfirmReleases { holder, leader } => self.confirm_releases(holder, leader),
            Step::ToggleNode(host) => {
                self.is_up[host] = !self.is_up[host];
                self.boots[host] += 10;
            }
            Step::AdvanceTime(ms) => self.now += Duration::from_millis(ms),
        }
        self.act()
    }

    /// Runs the model with one leader and without failures until all shards should have holders.
    fn converge(&mut self) -> Result<(), TestCaseError> {
        self.is_up[2] = false;
        self.elect(0);
        for _ in 0..200 {
            self.plan(0);
            while !self.in_flight.is_empty() {
                self.deliver(0, true);
            }
            (0..2).for_each(|host| self.read(host));
            self.confirm_releases(1, 0);
            self.now += Duration::from_millis(50);
            self.act()?;
        }
        let remaining_hosts: BTreeSet<&str> = HOSTS[..2].iter().copied().collect();
        prop_assert_eq!(self.records.len(), 4);
        for (text, _) in self.records.values() {
            let record = ShardRecord::decode(text).unwrap();
            prop_assert!(
                remaining_hosts.contains(record.holder.as_str()),
                "{:?} is held by a node that is down",
                record
            );
            prop_assert_eq!(record.term, self.lease.0);
        }
        Ok(())
    }
}

fn run_histories(act_rule: ActRule, cases: u32) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, fixed_rng());
    let run = |steps: Vec<Step>| {
        let mut model = Model::new(act_rule);
        steps.into_iter().try_for_each(|step| model.step(step))?;
        model.converge()
    };
    runner.run(&steps(), run).map_err(|error| error.to_string())
}

/// Returns a generator with a fixed seed, so that every run checks the same histories.
fn fixed_rng() -> proptest::test_runner::TestRng {
    proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &[7; 32])
}

#[test]
fn at_most_one_process_acts_under_each_epoch() {
    assert_eq!(run_histories(acts_by_record, 600), Ok(()));
}

#[test]
fn faulty_act_rules_are_detected() {
    for rule in [acts_before_named as ActRule, acts_after_restart] {
        let error = run_histories(rule, 600).expect_err("the faulty rule was not detected");
        assert!(error.contains("two processes acted under"), "{error}");
    }
}
