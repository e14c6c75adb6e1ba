//! A node alone, with every reply given by hand: what the model's histories seldom hit.

#![allow(clippy::unwrap_used)]

mod common;

use common::{settings, spec};
use plankhead_core::effects::StepTime;
use plankhead_core::jobs::job::{JobId, JobPhase, JobRecord};
use plankhead_core::node::Node;
use plankhead_core::protocol::*;
use plankhead_core::settings::{Fencing, Settings};
use plankhead_fencing::action::{CloudAction, InstanceReturn, ReturnReason};
use plankhead_fencing::intent::{IdempotencyKey, Intent};
use std::time::{Duration, SystemTime};

const START: Duration = Duration::from_secs(1000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id() -> JobId {
    JobId::parse("job-000001").unwrap()
}

/// A job's record as it is stored.
fn record(phase: JobPhase, since: Duration) -> String {
    let accepted_ms = since.as_millis() as u64;
    let cancelled_ms = (phase == JobPhase::Cancelled).then_some(accepted_ms);
    let record = JobRecord {
        phase,
        spec: Some(spec("a", 1, 100.0)),
        tasks: 1,
        per_chunk: 16,
        accepted_ms,
        cancelled_ms,
    };
    serde_json::to_string(&record).unwrap()
}

fn row(key: &str, value: &str, stamp: u64) -> KeyValue {
    KeyValue { key: key.into(), value: value.into(), mod_revision: stamp }
}

/// A machine's report under the token that it knows, with the job's task running.
fn report(sequence: u64, token: u64) -> Heartbeat {
    let task = TaskId { job: id(), index: 0 };
    Heartbeat {
        machine: "i-1".into(),
        address: "10.0.0.9:1".into(),
        machine_type: "r".into(),
        zone: "z".into(),
        spot: true,
        incarnation: 3,
        sequence,
        token,
        preemption_notice: None,
        tasks: [ReportedTask { task, attempt: 1, status: TaskStatus::Running }].into(),
    }
}

/// The machines that a call to the cloud gives back.
fn released(effect: &Effect) -> Option<&[MachineName]> {
    match effect {
        Effect::CallCloud { request: CloudRequest::Execute(permitted), .. } => match permitted.action() {
            CloudAction::Return(back) => Some(&back.machines),
            CloudAction::Rent(_) => None,
        },
        _ => None,
    }
}

struct Bench {
    node: Node,
    now: Duration,
    asks: RequestId,
    /// State calls that wait for their reply.
    calls: Vec<(CallId, KvRequest)>,
    effects: Vec<Effect>,
    /// Transactions that the state service took.
    written: Vec<KvRequest>,
}

impl Bench {
    fn new() -> Self {
        Self::of(settings())
    }

    fn of(settings: Settings) -> Self {
        let node = Node::new(settings);
        let mut bench =
            Self { node, now: START, asks: 0, calls: Vec::new(), effects: Vec::new(), written: Vec::new() };
        bench.step(Vec::new());
        bench
    }

    fn step(&mut self, batch: Vec<Event>) {
        let wall = SystemTime::UNIX_EPOCH + self.now;
        for effect in self.node.step(StepTime { now: self.now, wall }, batch) {
            match effect {
                Effect::CallKv { call, request } => self.calls.push((call, request)),
                effect => self.effects.push(effect),
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.step(Vec::new());
    }

    /// Takes out the first state call of this kind.
    fn taken(&mut self, which: impl Fn(&KvRequest) -> bool) -> Option<(CallId, KvRequest)> {
        let at = self.calls.iter().position(|(_, request)| which(request))?;
        Some(self.calls.remove(at))
    }

    /// Time passes, in which the state service answers what keeps a leader.
    fn lives(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 50 {
            self.pass(ms(50));
            if let Some((call, _)) = self.taken(|request| matches!(request, KvRequest::RenewLease { .. })) {
                self.reply_to(call, Ok(KvReply::LeaseRenewed));
            }
            if let Some((call, _)) = self.taken(|request| matches!(request, KvRequest::Watch { .. })) {
                let cancelled = record(JobPhase::Cancelled, START);
                let events = vec![WatchEvent::Put(row("job/job-000001", &cancelled, 10))];
                self.reply_to(call, Ok(KvReply::Events { revision: 10, events }));
            }
        }
    }

    /// Time passes, in which the state service takes all that is written and tells no news.
    fn lives_quietly(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 50 {
            self.pass(ms(50));
            for (call, request) in std::mem::take(&mut self.calls) {
                match request {
                    KvRequest::RenewLease { .. } => self.reply_to(call, Ok(KvReply::LeaseRenewed)),
                    KvRequest::Watch { after, .. } => {
                        self.reply_to(call, Ok(KvReply::Events { revision: after, events: Vec::new() }));
                    }
                    KvRequest::Txn { .. } => {
                        self.written.push(request);
                        let epoch = 100 + self.written.len() as u64;
                        self.reply_to(call, Ok(KvReply::Committed { revision: epoch }));
                    }
                    _ => self.calls.push((call, request)),
                }
            }
        }
    }

    /// An idle machine reports: what is it told?
    fn idle(&mut self, machine: &str, sequence: u64) -> Vec<WorkerCommand> {
        let mut idle = report(sequence, 41);
        idle.machine = machine.into();
        idle.tasks = [].into();
        self.lives_quietly(ms(300));
        let request = self.ask(|request| Event::Heartbeat { request, heartbeat: idle, relayed: false });
        match self.answer(request) {
            Some(Response::Commands { commands, .. }) => commands.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// The cloud tells of a machine type that fits, and of no machines.
    fn sees_the_cloud(&mut self) {
        let rig = MachineType {
            name: "r".into(),
            cpus: 8.0,
            gpus: 0.0,
            ram: 64.0,
            image_cache_gb: 10.0,
            image_fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.4,
            boot_time: Duration::from_secs(5),
            zones: vec!["z".into()],
        };
        let calls: Vec<(CallId, CloudRequest)> = self
            .effects
            .iter()
            .filter_map(|e| match e {
                Effect::CallCloud { call, request } => Some((*call, request.clone())),
                _ => None,
            })
            .collect();
        for (call, request) in calls {
            let reply = match request {
                CloudRequest::ListMachineTypes => CloudReply::MachineTypes(vec![rig.clone()]),
                CloudRequest::ListInstances { .. } => {
                    CloudReply::Instances { instances: Vec::new(), truncated: false }
                }
                CloudRequest::Execute(_) => continue,
            };
            self.step(vec![Event::CloudReply { call, reply: Ok(reply) }]);
        }
    }

    fn reply_to(&mut self, call: CallId, reply: Result<KvReply, CallError>) {
        self.step(vec![Event::KvReply { call, reply }]);
    }

    fn reply(&mut self, which: impl Fn(&KvRequest) -> bool, reply: Result<KvReply, CallError>) {
        let (call, _) = self.taken(which).unwrap();
        self.reply_to(call, reply);
    }

    fn ask(&mut self, event: impl FnOnce(RequestId) -> Event) -> RequestId {
        self.asks += 1;
        let request = self.asks;
        self.step(vec![event(request)]);
        request
    }

    fn beat(&mut self, sequence: u64, token: u64) -> RequestId {
        self.ask(|request| Event::Heartbeat { request, heartbeat: report(sequence, token), relayed: false })
    }

    fn answer(&self, request: RequestId) -> Option<&Response> {
        self.effects.iter().find_map(|e| match e {
            Effect::Respond { request: a, response: answer } if *a == request => Some(answer),
            _ => None,
        })
    }

    /// Has the node win the key under this token.
    fn wins(&mut self, token: u64) {
        self.reply(gets("lead"), Ok(KvReply::Value(None)));
        self.reply(
            |request| matches!(request, KvRequest::GrantLease { .. }),
            Ok(KvReply::LeaseGranted { lease: token }),
        );
        self.reply(writes("lead"), Ok(KvReply::Committed { revision: token }));
    }

    /// Has the leader read one job, live by what was read, and its placement on i-1.
    fn loads(&mut self) {
        let rows = vec![row("job/job-000001", &record(JobPhase::Active, self.now), 5)];
        let page = |rows| Ok(KvReply::Page { rows, truncated: false, revision: 9 });
        self.reply(lists("job/"), page(rows));
        self.loads_placements();
    }

    fn loads_placements(&mut self) {
        let text = r#"{"h":[["i-1",3,"z"]],"t":[[0,1,0]],"d":[]}"#;
        let rows = vec![row("run/job-000001/0", text, 6)];
        self.reply(lists("run/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
        self.reply(gets("target"), Ok(KvReply::Value(None)));
    }
}

fn gets(key: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| matches!(request, KvRequest::Get { key: k } if k == key)
}

fn lists(prefix: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| matches!(request, KvRequest::List { prefix: p, .. } if p == prefix)
}

fn writes(key: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| {
        let here = |c: &KvChange| matches!(c, KvChange::Put { key: k, .. } if k == key);
        matches!(request, KvRequest::Txn { changes, .. } if changes.iter().any(here))
    }
}

/// A worker's lease is not renewed by a leader that has not read the jobs: the one before
/// may have answered without sight until just now. The report waits while it reads, and
/// is answered at once when that fails.
#[test]
fn no_lease_is_renewed_before_the_jobs_are_read() {
    let mut bench = Bench::new();
    bench.wins(41);
    let early = bench.beat(1, 7);
    assert_eq!(bench.answer(early), None);
    bench.pass(ms(300));
    bench.loads();
    assert!(
        matches!(bench.answer(early), Some(Response::Commands { token: 41, .. })),
        "{:?}",
        bench.answer(early)
    );

    let mut bench = Bench::new();
    bench.wins(41);
    let early = bench.beat(1, 7);
    bench.reply(lists("job/"), Err(CallError::Refused));
    assert!(matches!(bench.answer(early), Some(Response::Unavailable { .. })), "{:?}", bench.answer(early));
    let later = bench.beat(2, 7);
    assert!(matches!(bench.answer(later), Some(Response::Unavailable { .. })), "{:?}", bench.answer(later));

    // Nor does it wait for longer than its worker.
    let mut bench = Bench::new();
    bench.wins(41);
    let early = bench.beat(1, 7);
    bench.pass(ms(2600));
    assert!(matches!(bench.answer(early), Some(Response::Unavailable { .. })), "{:?}", bench.answer(early));
}

/// While it reads as a new leader, this node tells a user of a cancellation that another
/// has confirmed, and what it reads is older: the job's placement still has an owner, who
/// ends it, and its room counts.
#[test]
fn a_cancellation_told_while_reading_ends_what_was_placed() {
    let mut bench = Bench::new();
    bench.wins(41);
    let page = bench.taken(lists("job/")).unwrap();
    let live = record(JobPhase::Active, bench.now);
    let poll = bench.ask(|request| Event::Poll { request, id: id() });
    let cancelled = row("job/job-000001", &record(JobPhase::Cancelled, bench.now), 10);
    bench.reply(gets("job/job-000001"), Ok(KvReply::Value(Some(cancelled))));
    assert!(matches!(bench.answer(poll), Some(Response::Job { status: JobStatus::Cancelled, .. })));
    // The list was read before that, and its reply comes after.
    let rows = vec![row("job/job-000001", &live, 5)];
    bench.reply_to(page.0, Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    bench.loads_placements();
    // Nothing is heard of the machine: it goes back in time.
    bench.lives(Duration::from_secs(36));
    let released = |e: &Effect| released(e).is_some_and(|hosts| hosts.iter().any(|h| &**h == "i-1"));
    assert!(bench.effects.iter().any(released), "the machine was not given back");
}

/// An old copy, of an earlier session, reaches a new leader before the machine itself does:
/// that the copy's answer changed nothing does not make the machine deaf.
#[test]
fn a_copy_before_the_first_report_makes_nobody_deaf() {
    let mut bench = Bench::new();
    bench.wins(41);
    bench.loads();
    let mut copy = report(9, 7);
    copy.incarnation = 2;
    bench.ask(|request| Event::Heartbeat { request, heartbeat: copy, relayed: false });
    bench.lives(ms(900));
    bench.beat(30, 7);
    bench.lives(ms(900));
    let released = |e: &Effect| released(e).is_some();
    assert!(!bench.effects.iter().any(released), "the machine was given back");
}

/// A new leader that can't read gives a machine back that hangs, when its lease is out
/// for certain; what it then reads of placements there is over.
#[test]
fn what_was_on_a_machine_given_back_while_reading_is_over() {
    let mut bench = Bench::new();
    bench.wins(41);
    bench.reply(lists("job/"), Err(CallError::Refused));
    bench.beat(1, 7);
    let released = |e: &Effect| released(e).is_some_and(|hosts| hosts.iter().all(|h| &**h == "i-1"));
    for sequence in 0..30 {
        // Two others go on reporting, a sibling is there and does not lead.
        for machine in ["i-2", "i-3"] {
            let up = Heartbeat { machine: machine.into(), tasks: [].into(), ..report(sequence, 7) };
            bench.ask(|request| Event::Heartbeat { request, heartbeat: up, relayed: false });
        }
        bench.step(vec![Event::PeerHeartbeat(PeerHeartbeat {
            host: "plank-1".into(),
            ..PeerHeartbeat::default()
        })]);
        bench.lives(ms(500));
        for (call, _) in std::mem::take(&mut bench.calls) {
            bench.reply_to(call, Err(CallError::Refused));
        }
        let question = |e: &Effect| match e {
            Effect::CallCloud { call, request: CloudRequest::ListInstances { .. } } => Some(*call),
            _ => None,
        };
        let lists: Vec<CallId> = bench.effects.iter().filter_map(question).collect();
        for call in lists {
            let reply = Ok(CloudReply::Instances { instances: Vec::new(), truncated: false });
            bench.step(vec![Event::CloudReply { call, reply }]);
        }
        bench.effects.retain(|e| question(e).is_none());
    }
    let call = bench.effects.iter().filter(|e| released(e)).find_map(|e| match e {
        Effect::CallCloud { call, .. } => Some(*call),
        _ => None,
    });
    let call = call.unwrap();
    bench.step(vec![Event::CloudReply { call, reply: Ok(CloudReply::Released) }]);
    // The state service is back.
    let mut reads = None;
    for _ in 0..40 {
        bench.pass(ms(50));
        reads = bench.taken(lists("job/"));
        if reads.is_some() {
            break;
        }
    }
    let rows = vec![row("job/job-000001", &record(JobPhase::Active, START), 5)];
    bench.reply_to(reads.unwrap().0, Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    bench.loads_placements();
    bench.lives(Duration::from_secs(6));
    // Its user has called it off meanwhile, so that nothing of it is kept.
    let drops = |request: &KvRequest| {
        let gone = |c: &KvChange| matches!(c, KvChange::Delete { key } if key == "run/job-000001/0");
        matches!(request, KvRequest::Txn { changes, .. } if changes.iter().any(gone))
    };
    assert!(bench.taken(drops).is_some(), "the placement stays for ever");
}

/// A node that gave the key up, and finds its own key still there, does not lead under the
/// same token again: its earlier commands and hires would pass for new ones.
#[test]
fn nobody_leads_twice_under_one_token() {
    let mut bench = Bench::new();
    bench.wins(41);
    bench.loads();
    let holder = r#"{"host":"plank-0","boot":1,"hold":41}"#;
    // The history of changes is gone, so that it has to read anew.
    bench.reply(
        |request| matches!(request, KvRequest::Watch { prefix, .. } if prefix == "job/"),
        Ok(KvReply::Compacted),
    );
    bench.pass(ms(300));
    bench.reply(gets("lead"), Ok(KvReply::Value(Some(row("lead", holder, 41)))));
    let led = |b: &Bench| {
        b.effects
            .iter()
            .filter(|e| matches!(e, Effect::Log(_, text) if text.starts_with("leadership won: token=")))
            .count()
    };
    assert_eq!(led(&bench), 1);
    // Its own claim whose answer was lost is another matter.
    let mut bench = Bench::new();
    bench.reply(gets("lead"), Ok(KvReply::Value(None)));
    bench.reply(
        |request| matches!(request, KvRequest::GrantLease { .. }),
        Ok(KvReply::LeaseGranted { lease: 41 }),
    );
    bench.reply(writes("lead"), Err(CallError::OutcomeUnknown));
    bench.pass(ms(300));
    bench.reply(gets("lead"), Ok(KvReply::Value(Some(row("lead", holder, 41)))));
    assert_eq!(led(&bench), 1);
}

/// After the state service has failed this node, another may confirm cancellations that
/// it does not see: it starts nothing until it has seen the jobs again.
#[test]
fn nothing_starts_after_the_state_service_failed_this_node() {
    for failed in [false, true] {
        let mut bench = Bench::new();
        bench.wins(41);
        bench.loads();
        let touch = if failed { Err(CallError::Refused) } else { Ok(KvReply::LeaseRenewed) };
        bench.pass(ms(450));
        bench.reply(|request| matches!(request, KvRequest::RenewLease { .. }), touch);
        bench.pass(ms(50));
        // The machine has not begun the task that was placed there.
        let mut idle = report(1, 7);
        idle.tasks = [].into();
        let beat = bench.ask(|request| Event::Heartbeat { request, heartbeat: idle, relayed: false });
        let Some(Response::Commands { commands, .. }) = bench.answer(beat) else { panic!() };
        let runs = commands.iter().any(|o| matches!(o, WorkerCommand::Run { .. }));
        assert_eq!(runs, !failed, "{commands:?}");
    }
}

/// A job is called off while the answer to its creation is under way: its user, who has
/// heard so, does not hear of a queued job afterwards.
#[test]
fn a_late_answer_to_a_submission_is_not_older_than_the_cancellation() {
    let mut bench = Bench::new();
    bench.step(vec![Event::CloudReply {
        call: catalog(&bench),
        reply: Ok(CloudReply::MachineTypes(vec![MachineType {
            name: "r".into(),
            cpus: 8.0,
            gpus: 0.0,
            ram: 64.0,
            image_cache_gb: 10.0,
            image_fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.4,
            boot_time: Duration::from_secs(5),
            zones: vec!["z".into()],
        }])),
    }]);
    let submit = bench.ask(|request| Event::Submit { request, id: id(), job: Ok(spec("a", 1, 100.0)) });
    let create = bench.taken(writes("job/job-000001")).unwrap();
    bench.ask(|request| Event::Cancel { request, id: id() });
    let live = record(JobPhase::Active, bench.now);
    bench.reply(gets("job/job-000001"), Ok(KvReply::Value(Some(row("job/job-000001", &live, 5)))));
    bench.reply(writes("job/job-000001"), Ok(KvReply::Committed { revision: 6 }));
    bench.reply_to(create.0, Ok(KvReply::Committed { revision: 5 }));
    assert!(
        matches!(bench.answer(submit), Some(Response::Job { status: JobStatus::Cancelled, .. })),
        "{:?}",
        bench.answer(submit)
    );
}

fn catalog(bench: &Bench) -> CallId {
    let question = |e: &Effect| match e {
        Effect::CallCloud { call, request: CloudRequest::ListMachineTypes } => Some(*call),
        _ => None,
    };
    bench.effects.iter().find_map(question).unwrap()
}

/// A node that was replaced goes on claiming to lead: where fencing is on, what it tells of
/// jobs is passed over and counted, and nobody is sent to it.
#[test]
fn a_claim_under_a_token_that_is_over_is_refused() {
    let progress = vec![JobProgress { id: id().to_string(), done: 0, running: 1 }];
    let claim = |token| PeerHeartbeat {
        host: "plank-1".into(),
        kv_available: true,
        token,
        progress: progress.clone(),
    };
    for (fenced, sent) in [(false, Some("plank-1")), (true, None)] {
        let mut bench =
            Bench::of(Settings { fencing: Fencing { enabled: fenced, ..Fencing::default() }, ..settings() });
        bench.step(vec![Event::PeerHeartbeat(claim(50))]);
        let early = bench.beat(1, 7);
        assert!(matches!(bench.answer(early), Some(Response::Redirect { host: Some(_) })));
        // Another leads meanwhile, as a worker shows; then the first is heard again.
        let mut later = report(2, 60);
        later.machine = "i-2".into();
        bench.ask(|request| Event::Heartbeat { request, heartbeat: later, relayed: false });
        bench.step(vec![Event::PeerHeartbeat(claim(50))]);
        let mut third = report(3, 7);
        third.machine = "i-3".into();
        let question = bench.ask(|request| Event::Heartbeat { request, heartbeat: third, relayed: false });
        let Some(Response::Redirect { host: foreman }) = bench.answer(question) else { panic!("no answer") };
        assert_eq!(foreman.as_deref(), sent, "fenced: {fenced}");
        let view = bench.ask(|request| Event::View { request });
        let Some(Response::View(view)) = bench.answer(view) else { panic!("no view") };
        assert_eq!(view["tokens"]["refused"], u64::from(fenced));
    }
}

/// A former leader had begun to give the machine back: the next one places nothing there,
/// asks the cloud for the return again, and drops the record once that is answered.
#[test]
fn nothing_is_placed_on_a_machine_whose_return_is_open() {
    let fencing = Fencing { enabled: true, ..Fencing::default() };
    let mut bench = Bench::of(Settings { fencing, ..settings() });
    bench.wins(41);
    let rows = vec![row("job/job-000001", &record(JobPhase::Active, bench.now), 5)];
    bench.reply(lists("job/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    bench.reply(lists("run/"), Ok(KvReply::Page { rows: Vec::new(), truncated: false, revision: 9 }));
    let back = InstanceReturn { machines: vec!["i-1".into()], reason: ReturnReason::Surplus };
    let duty = Intent::intended(IdempotencyKey::new("30.1"), 30, CloudAction::Return(back), 0);
    let value = plankhead_fencing::record::encode([&duty].into_iter());
    let rows = vec![row("duty/30/0", &value, 8)];
    bench.reply(lists("duty/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    bench.reply(gets("target"), Ok(KvReply::Value(None)));
    bench.sees_the_cloud();
    // The machine is there, idle, with room for the waiting job.
    for sequence in 1..12 {
        assert_eq!(bench.idle("i-1", sequence), Vec::new(), "something was placed there");
        bench.lives_quietly(ms(300));
    }
    let released = |e: &Effect| released(e).is_some_and(|hosts| hosts.iter().all(|h| &**h == "i-1"));
    let call = bench.effects.iter().find(|e| released(e)).map(|e| match e {
        Effect::CallCloud { call, .. } => *call,
        _ => 0,
    });
    assert_eq!(bench.effects.iter().filter(|e| released(e)).count(), 1, "the return was not asked for once");
    bench.step(vec![Event::CloudReply { call: call.unwrap(), reply: Ok(CloudReply::Released) }]);
    bench.lives_quietly(Duration::from_secs(6));
    let drops = |request: &KvRequest| {
        let of = |c: &KvChange| matches!(c, KvChange::Delete { key } if key == "duty/30/0");
        matches!(request, KvRequest::Txn { conditions, changes } if changes.iter().any(of)
            && conditions.contains(&Condition { key: "lead".into(), mod_revision: 41 })
            && conditions.contains(&Condition { key: "duty/30/0".into(), mod_revision: 8 }))
    };
    assert!(bench.written.iter().any(drops), "its record is kept: {:?}", bench.written);
    let answered = bench.beat(20, 41);
    assert!(
        !matches!(bench.answer(answered), Some(Response::Commands { .. })),
        "a machine that is gone is heard"
    );
    // Another machine like it takes the job.
    let commands: Vec<WorkerCommand> = (1..8).flat_map(|sequence| bench.idle("i-2", sequence)).collect();
    assert!(
        commands.iter().any(|order| matches!(order, WorkerCommand::Run { .. })),
        "nothing was placed at all"
    );
}

/// The reasons for which jobs are refused, as users get them.
#[test]
fn refusals_keep_their_texts() {
    use plankhead_core::protocol::{SpecRejection, UnsatisfiableSpec};
    let text = |reason: UnsatisfiableSpec| reason.to_string();
    assert_eq!(SpecRejection::Malformed("a field is missing".into()).to_string(), "a field is missing");
    assert_eq!(SpecRejection::TooLong.to_string(), "the job's description is too long");
    assert_eq!(text(UnsatisfiableSpec::UnknownTeam), "no such team");
    assert_eq!(text(UnsatisfiableSpec::TaskOverTeamLimit), "one task needs more than the team's limit");
    assert_eq!(
        text(UnsatisfiableSpec::GangOverTeamLimit),
        "all tasks together need more than the team's limit"
    );
    assert_eq!(
        text(UnsatisfiableSpec::SpreadInOneZone),
        "the tasks can't all be in one zone and at most half of them in each"
    );
    assert_eq!(text(UnsatisfiableSpec::NoMachineTypeFits), "no allowed machine type can hold a task");
}
