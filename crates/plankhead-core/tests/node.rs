//! Tests of a single node that script every reply, for sequences that the model's histories seldom reach.

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

/// Returns the stored value of a job's record.
fn job_record(phase: JobPhase, accepted_at: Duration) -> String {
    let accepted_ms = accepted_at.as_millis() as u64;
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

fn row(key: &str, value: &str, mod_revision: u64) -> KeyValue {
    KeyValue { key: key.into(), value: value.into(), mod_revision }
}

/// Returns a heartbeat of machine i-1, which knows this token and runs the job's task.
fn heartbeat(sequence: u64, token: u64) -> Heartbeat {
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

/// Returns the machines that the effect releases, if it is a release request to the cloud.
fn released_machines(effect: &Effect) -> Option<&[MachineName]> {
    match effect {
        Effect::CallCloud { request: CloudRequest::Execute(permitted), .. } => match permitted.action() {
            CloudAction::Return(instances) => Some(&instances.machines),
            CloudAction::Rent(_) => None,
        },
        _ => None,
    }
}

/// A node, its clock and the effects that it has requested.
struct NodeHarness {
    node: Node,
    now: Duration,
    last_request: RequestId,
    /// Calls to the state service without a reply so far.
    calls: Vec<(CallId, KvRequest)>,
    effects: Vec<Effect>,
    /// The transactions that the state service has committed.
    committed: Vec<KvRequest>,
}

impl NodeHarness {
    fn new() -> Self {
        Self::with_settings(settings())
    }

    fn with_settings(settings: Settings) -> Self {
        let node = Node::new(settings);
        let mut harness = Self {
            node,
            now: START,
            last_request: 0,
            calls: Vec::new(),
            effects: Vec::new(),
            committed: Vec::new(),
        };
        harness.step(Vec::new());
        harness
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

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(Vec::new());
    }

    /// Removes and returns the first matching call to the state service.
    fn take_call(&mut self, which: impl Fn(&KvRequest) -> bool) -> Option<(CallId, KvRequest)> {
        let at = self.calls.iter().position(|(_, request)| which(request))?;
        Some(self.calls.remove(at))
    }

    /// Lets time pass while the state service answers lease renewals and watches. The watch reports that the
    /// job is cancelled.
    fn run_with_cancellation(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 50 {
            self.advance(ms(50));
            if let Some((call, _)) = self.take_call(|request| matches!(request, KvRequest::RenewLease { .. }))
            {
                self.reply_to(call, Ok(KvReply::LeaseRenewed));
            }
            if let Some((call, _)) = self.take_call(|request| matches!(request, KvRequest::Watch { .. })) {
                let cancelled = job_record(JobPhase::Cancelled, START);
                let events = vec![WatchEvent::Put(row("job/job-000001", &cancelled, 10))];
                self.reply_to(call, Ok(KvReply::Events { revision: 10, events }));
            }
        }
    }

    /// Lets time pass while the state service commits all transactions and watches report no changes.
    fn run_without_events(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 50 {
            self.advance(ms(50));
            for (call, request) in std::mem::take(&mut self.calls) {
                match request {
                    KvRequest::RenewLease { .. } => self.reply_to(call, Ok(KvReply::LeaseRenewed)),
                    KvRequest::Watch { after, .. } => {
                        self.reply_to(call, Ok(KvReply::Events { revision: after, events: Vec::new() }));
                    }
                    KvRequest::Txn { .. } => {
                        self.committed.push(request);
                        let revision = 100 + self.committed.len() as u64;
                        self.reply_to(call, Ok(KvReply::Committed { revision }));
                    }
                    _ => self.calls.push((call, request)),
                }
            }
        }
    }

    /// Sends a heartbeat of an idle machine, and returns the commands of the response.
    fn heartbeat_when_idle(&mut self, machine: &str, sequence: u64) -> Vec<WorkerCommand> {
        let mut idle = heartbeat(sequence, 41);
        idle.machine = machine.into();
        idle.tasks = [].into();
        self.run_without_events(ms(300));
        let request = self.send(|request| Event::Heartbeat { request, heartbeat: idle, relayed: false });
        match self.response(request) {
            Some(Response::Commands { commands, .. }) => commands.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// Answers the calls to the cloud: it offers one machine type, on which the job fits, and lists no
    /// machines.
    fn answer_cloud_lists(&mut self) {
        let machine_type = MachineType {
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
                CloudRequest::ListMachineTypes => CloudReply::MachineTypes(vec![machine_type.clone()]),
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
        let (call, _) = self.take_call(which).unwrap();
        self.reply_to(call, reply);
    }

    fn send(&mut self, event: impl FnOnce(RequestId) -> Event) -> RequestId {
        self.last_request += 1;
        let request = self.last_request;
        self.step(vec![event(request)]);
        request
    }

    fn send_heartbeat(&mut self, sequence: u64, token: u64) -> RequestId {
        self.send(|request| Event::Heartbeat {
            request,
            heartbeat: heartbeat(sequence, token),
            relayed: false,
        })
    }

    fn response(&self, request: RequestId) -> Option<&Response> {
        self.effects.iter().find_map(|e| match e {
            Effect::Respond { request: to, response } if *to == request => Some(response),
            _ => None,
        })
    }

    /// Answers the node's calls so that it becomes leader with this token.
    fn elect(&mut self, token: u64) {
        self.reply(is_get("lead"), Ok(KvReply::Value(None)));
        self.reply(
            |request| matches!(request, KvRequest::GrantLease { .. }),
            Ok(KvReply::LeaseGranted { lease: token }),
        );
        self.reply(is_put("lead"), Ok(KvReply::Committed { revision: token }));
    }

    /// Answers the leader's reads with one active job and its placement on i-1.
    fn load(&mut self) {
        let rows = vec![row("job/job-000001", &job_record(JobPhase::Active, self.now), 5)];
        let page = |rows| Ok(KvReply::Page { rows, truncated: false, revision: 9 });
        self.reply(is_list("job/"), page(rows));
        self.load_placements();
    }

    fn load_placements(&mut self) {
        let text = r#"{"h":[["i-1",3,"z"]],"t":[[0,1,0]],"d":[]}"#;
        let rows = vec![row("run/job-000001/0", text, 6)];
        self.reply(is_list("run/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
        self.reply(is_get("target"), Ok(KvReply::Value(None)));
    }
}

fn is_get(key: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| matches!(request, KvRequest::Get { key: k } if k == key)
}

fn is_list(prefix: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| matches!(request, KvRequest::List { prefix: p, .. } if p == prefix)
}

fn is_put(key: &'static str) -> impl Fn(&KvRequest) -> bool {
    move |request| {
        let puts_key = |c: &KvChange| matches!(c, KvChange::Put { key: k, .. } if k == key);
        matches!(request, KvRequest::Txn { changes, .. } if changes.iter().any(puts_key))
    }
}

/// A new leader does not renew the lease of a worker before it has read the jobs, since the previous leader
/// may have renewed it without seeing the jobs until just now. The heartbeat waits during the read, and is
/// answered at once when the read fails.
#[test]
fn no_lease_is_renewed_before_the_jobs_are_read() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    let early = harness.send_heartbeat(1, 7);
    assert_eq!(harness.response(early), None);
    harness.advance(ms(300));
    harness.load();
    assert!(
        matches!(harness.response(early), Some(Response::Commands { token: 41, .. })),
        "{:?}",
        harness.response(early)
    );

    let mut harness = NodeHarness::new();
    harness.elect(41);
    let early = harness.send_heartbeat(1, 7);
    harness.reply(is_list("job/"), Err(CallError::Refused));
    assert!(
        matches!(harness.response(early), Some(Response::Unavailable { .. })),
        "{:?}",
        harness.response(early)
    );
    let later = harness.send_heartbeat(2, 7);
    assert!(
        matches!(harness.response(later), Some(Response::Unavailable { .. })),
        "{:?}",
        harness.response(later)
    );

    // A heartbeat does not wait longer than its worker does.
    let mut harness = NodeHarness::new();
    harness.elect(41);
    let early = harness.send_heartbeat(1, 7);
    harness.advance(ms(2600));
    assert!(
        matches!(harness.response(early), Some(Response::Unavailable { .. })),
        "{:?}",
        harness.response(early)
    );
}

/// While a new leader reads the jobs, it tells a user that a job is cancelled, which another node has
/// confirmed. The list that it reads is older and has the job as active. The leader must still end the
/// job's placement, and count its resources until it has ended.
#[test]
fn a_cancellation_seen_while_loading_ends_the_placement() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    let list_call = harness.take_call(is_list("job/")).unwrap();
    let active = job_record(JobPhase::Active, harness.now);
    let status_request = harness.send(|request| Event::Poll { request, id: id() });
    let cancelled = row("job/job-000001", &job_record(JobPhase::Cancelled, harness.now), 10);
    harness.reply(is_get("job/job-000001"), Ok(KvReply::Value(Some(cancelled))));
    assert!(matches!(
        harness.response(status_request),
        Some(Response::Job { status: JobStatus::Cancelled, .. })
    ));
    // The list was read before the cancellation, and its reply arrives afterwards.
    let rows = vec![row("job/job-000001", &active, 5)];
    harness.reply_to(list_call.0, Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    harness.load_placements();
    // The machine sends no heartbeat, so it must be returned in time.
    harness.run_with_cancellation(Duration::from_secs(36));
    let is_release =
        |e: &Effect| released_machines(e).is_some_and(|machines| machines.iter().any(|h| &**h == "i-1"));
    assert!(harness.effects.iter().any(is_release), "the machine was not returned");
}

/// A late copy of a heartbeat from an earlier incarnation reaches a new leader before the machine itself
/// does. The response to the copy has no effect, but the machine must not be taken for one that ignores
/// commands.
#[test]
fn a_late_copy_before_the_first_heartbeat_returns_no_machine() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    harness.load();
    let mut copy = heartbeat(9, 7);
    copy.incarnation = 2;
    harness.send(|request| Event::Heartbeat { request, heartbeat: copy, relayed: false });
    harness.run_with_cancellation(ms(900));
    harness.send_heartbeat(30, 7);
    harness.run_with_cancellation(ms(900));
    let is_release = |e: &Effect| released_machines(e).is_some();
    assert!(!harness.effects.iter().any(is_release), "the machine was returned");
}

/// A new leader that can't read the jobs returns a hanging machine once its lease has certainly expired.
/// Placements on that machine that the leader reads afterwards have ended.
#[test]
fn placements_on_a_machine_returned_while_loading_have_ended() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    harness.reply(is_list("job/"), Err(CallError::Refused));
    harness.send_heartbeat(1, 7);
    let is_release =
        |e: &Effect| released_machines(e).is_some_and(|machines| machines.iter().all(|h| &**h == "i-1"));
    for sequence in 0..30 {
        // Two other machines continue to send heartbeats, and a peer is up that does not lead.
        for machine in ["i-2", "i-3"] {
            let up = Heartbeat { machine: machine.into(), tasks: [].into(), ..heartbeat(sequence, 7) };
            harness.send(|request| Event::Heartbeat { request, heartbeat: up, relayed: false });
        }
        harness.step(vec![Event::PeerHeartbeat(PeerHeartbeat {
            host: "plank-1".into(),
            ..PeerHeartbeat::default()
        })]);
        harness.run_with_cancellation(ms(500));
        for (call, _) in std::mem::take(&mut harness.calls) {
            harness.reply_to(call, Err(CallError::Refused));
        }
        let list_call = |e: &Effect| match e {
            Effect::CallCloud { call, request: CloudRequest::ListInstances { .. } } => Some(*call),
            _ => None,
        };
        let list_calls: Vec<CallId> = harness.effects.iter().filter_map(list_call).collect();
        for call in list_calls {
            let reply = Ok(CloudReply::Instances { instances: Vec::new(), truncated: false });
            harness.step(vec![Event::CloudReply { call, reply }]);
        }
        harness.effects.retain(|e| list_call(e).is_none());
    }
    let call = harness.effects.iter().filter(|e| is_release(e)).find_map(|e| match e {
        Effect::CallCloud { call, .. } => Some(*call),
        _ => None,
    });
    let call = call.unwrap();
    harness.step(vec![Event::CloudReply { call, reply: Ok(CloudReply::Released) }]);
    // The state service is available again.
    let mut list_call = None;
    for _ in 0..40 {
        harness.advance(ms(50));
        list_call = harness.take_call(is_list("job/"));
        if list_call.is_some() {
            break;
        }
    }
    let rows = vec![row("job/job-000001", &job_record(JobPhase::Active, START), 5)];
    harness.reply_to(list_call.unwrap().0, Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    harness.load_placements();
    harness.run_with_cancellation(Duration::from_secs(6));
    // A user has cancelled the job meanwhile, so that its keys are deleted.
    let deletes = |request: &KvRequest| {
        let deletes_chunk = |c: &KvChange| matches!(c, KvChange::Delete { key } if key == "run/job-000001/0");
        matches!(request, KvRequest::Txn { changes, .. } if changes.iter().any(deletes_chunk))
    };
    assert!(harness.take_call(deletes).is_some(), "the placement was not deleted");
}

/// A node that has given up the lease and still finds its own leader record does not lead under the same
/// token again, because its earlier commands and rentals would count as new ones.
#[test]
fn a_node_does_not_lead_twice_under_one_token() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    harness.load();
    let leader = r#"{"host":"plank-0","boot":1,"hold":41}"#;
    // The history of changes has been compacted, so that the node must read everything again.
    harness.reply(
        |request| matches!(request, KvRequest::Watch { prefix, .. } if prefix == "job/"),
        Ok(KvReply::Compacted),
    );
    harness.advance(ms(300));
    harness.reply(is_get("lead"), Ok(KvReply::Value(Some(row("lead", leader, 41)))));
    let elections = |harness: &NodeHarness| {
        harness
            .effects
            .iter()
            .filter(|e| matches!(e, Effect::Log(_, text) if text.starts_with("leadership won: token=")))
            .count()
    };
    assert_eq!(elections(&harness), 1);
    // A node whose acquisition succeeded without a reply does lead under that token.
    let mut harness = NodeHarness::new();
    harness.reply(is_get("lead"), Ok(KvReply::Value(None)));
    harness.reply(
        |request| matches!(request, KvRequest::GrantLease { .. }),
        Ok(KvReply::LeaseGranted { lease: 41 }),
    );
    harness.reply(is_put("lead"), Err(CallError::OutcomeUnknown));
    harness.advance(ms(300));
    harness.reply(is_get("lead"), Ok(KvReply::Value(Some(row("lead", leader, 41)))));
    assert_eq!(elections(&harness), 1);
}

/// After the state service has refused this leader, another node may confirm cancellations that it does
/// not see. It starts nothing until it has seen the jobs again.
#[test]
fn nothing_starts_after_a_failed_lease_renewal() {
    for failed in [false, true] {
        let mut harness = NodeHarness::new();
        harness.elect(41);
        harness.load();
        let renewal = if failed { Err(CallError::Refused) } else { Ok(KvReply::LeaseRenewed) };
        harness.advance(ms(450));
        harness.reply(|request| matches!(request, KvRequest::RenewLease { .. }), renewal);
        harness.advance(ms(50));
        // The machine has not started the task that was placed on it.
        let mut idle = heartbeat(1, 7);
        idle.tasks = [].into();
        let request = harness.send(|request| Event::Heartbeat { request, heartbeat: idle, relayed: false });
        let Some(Response::Commands { commands, .. }) = harness.response(request) else { panic!() };
        let starts = commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. }));
        assert_eq!(starts, !failed, "{commands:?}");
    }
}

/// A job is cancelled while the reply to its creation is in flight. The response to the submission must
/// not say that the job is queued after the user was told that it is cancelled.
#[test]
fn a_late_response_to_a_submission_reports_the_cancellation() {
    let mut harness = NodeHarness::new();
    harness.step(vec![Event::CloudReply {
        call: machine_type_call(&harness),
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
    let submit = harness.send(|request| Event::Submit { request, id: id(), job: Ok(spec("a", 1, 100.0)) });
    let create_call = harness.take_call(is_put("job/job-000001")).unwrap();
    harness.send(|request| Event::Cancel { request, id: id() });
    let active = job_record(JobPhase::Active, harness.now);
    harness.reply(is_get("job/job-000001"), Ok(KvReply::Value(Some(row("job/job-000001", &active, 5)))));
    harness.reply(is_put("job/job-000001"), Ok(KvReply::Committed { revision: 6 }));
    harness.reply_to(create_call.0, Ok(KvReply::Committed { revision: 5 }));
    assert!(
        matches!(harness.response(submit), Some(Response::Job { status: JobStatus::Cancelled, .. })),
        "{:?}",
        harness.response(submit)
    );
}

fn machine_type_call(harness: &NodeHarness) -> CallId {
    let is_list_call = |e: &Effect| match e {
        Effect::CallCloud { call, request: CloudRequest::ListMachineTypes } => Some(*call),
        _ => None,
    };
    harness.effects.iter().find_map(is_list_call).unwrap()
}

/// A former leader still claims to lead. With fencing on, the job progress that it sends is ignored and
/// counted as refused, and no worker is redirected to it.
#[test]
fn a_claim_with_an_outdated_token_is_rejected() {
    let progress = vec![JobProgress { id: id().to_string(), done: 0, running: 1 }];
    let claim = |token| PeerHeartbeat {
        host: "plank-1".into(),
        kv_available: true,
        token,
        progress: progress.clone(),
    };
    for (fenced, redirect) in [(false, Some("plank-1")), (true, None)] {
        let mut harness = NodeHarness::with_settings(Settings {
            fencing: Fencing { enabled: fenced, ..Fencing::default() },
            ..settings()
        });
        harness.step(vec![Event::PeerHeartbeat(claim(50))]);
        let early = harness.send_heartbeat(1, 7);
        assert!(matches!(harness.response(early), Some(Response::Redirect { host: Some(_) })));
        // A worker's heartbeat shows that another node leads by now. Then the first one claims to lead again.
        let mut later = heartbeat(2, 60);
        later.machine = "i-2".into();
        harness.send(|request| Event::Heartbeat { request, heartbeat: later, relayed: false });
        harness.step(vec![Event::PeerHeartbeat(claim(50))]);
        let mut third = heartbeat(3, 7);
        third.machine = "i-3".into();
        let request = harness.send(|request| Event::Heartbeat { request, heartbeat: third, relayed: false });
        let Some(Response::Redirect { host }) = harness.response(request) else { panic!("no response") };
        assert_eq!(host.as_deref(), redirect, "fenced: {fenced}");
        let view = harness.send(|request| Event::View { request });
        let Some(Response::View(view)) = harness.response(view) else { panic!("no view") };
        assert_eq!(view["tokens"]["refused"], u64::from(fenced));
    }
}

/// A former leader has recorded the return of a machine. The next leader places nothing on it, requests the
/// return again once, and deletes the intent when the cloud has confirmed the return.
#[test]
fn nothing_is_placed_on_a_machine_with_an_open_return() {
    let fencing = Fencing { enabled: true, ..Fencing::default() };
    let mut harness = NodeHarness::with_settings(Settings { fencing, ..settings() });
    harness.elect(41);
    let rows = vec![row("job/job-000001", &job_record(JobPhase::Active, harness.now), 5)];
    harness.reply(is_list("job/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    harness.reply(is_list("run/"), Ok(KvReply::Page { rows: Vec::new(), truncated: false, revision: 9 }));
    let instances = InstanceReturn { machines: vec!["i-1".into()], reason: ReturnReason::Surplus };
    let intent = Intent::intended(IdempotencyKey::new("30.1"), 30, CloudAction::Return(instances), 0);
    let value = plankhead_fencing::record::encode([&intent].into_iter());
    let rows = vec![row("duty/30/0", &value, 8)];
    harness.reply(is_list("duty/"), Ok(KvReply::Page { rows, truncated: false, revision: 9 }));
    harness.reply(is_get("target"), Ok(KvReply::Value(None)));
    harness.answer_cloud_lists();
    // The machine is up and idle, with room for the pending job.
    for sequence in 1..12 {
        assert_eq!(
            harness.heartbeat_when_idle("i-1", sequence),
            Vec::new(),
            "a task was placed on the machine"
        );
        harness.run_without_events(ms(300));
    }
    let is_release =
        |e: &Effect| released_machines(e).is_some_and(|machines| machines.iter().all(|h| &**h == "i-1"));
    let call = harness.effects.iter().find(|e| is_release(e)).map(|e| match e {
        Effect::CallCloud { call, .. } => *call,
        _ => 0,
    });
    assert_eq!(
        harness.effects.iter().filter(|e| is_release(e)).count(),
        1,
        "the return was not requested exactly once"
    );
    harness.step(vec![Event::CloudReply { call: call.unwrap(), reply: Ok(CloudReply::Released) }]);
    harness.run_without_events(Duration::from_secs(6));
    let deletes = |request: &KvRequest| {
        let deletes_intent = |c: &KvChange| matches!(c, KvChange::Delete { key } if key == "duty/30/0");
        matches!(request, KvRequest::Txn { conditions, changes } if changes.iter().any(deletes_intent)
            && conditions.contains(&Condition { key: "lead".into(), mod_revision: 41 })
            && conditions.contains(&Condition { key: "duty/30/0".into(), mod_revision: 8 }))
    };
    assert!(harness.committed.iter().any(deletes), "the intent was not deleted: {:?}", harness.committed);
    let request = harness.send_heartbeat(20, 41);
    assert!(
        !matches!(harness.response(request), Some(Response::Commands { .. })),
        "a heartbeat of a released machine got commands"
    );
    // Another machine of the same type gets the job.
    let commands: Vec<WorkerCommand> =
        (1..8).flat_map(|sequence| harness.heartbeat_when_idle("i-2", sequence)).collect();
    assert!(
        commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. })),
        "no task was placed"
    );
}

/// Users receive the reasons for which jobs are rejected with exactly these texts.
#[test]
fn rejection_texts_are_unchanged() {
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

/// Returns the token of the response and its commands.
fn answer(harness: &NodeHarness, request: RequestId) -> (u64, &[WorkerCommand]) {
    match harness.response(request) {
        Some(Response::Commands { token, commands }) => (*token, commands),
        other => panic!("{other:?}"),
    }
}

/// A copy of a direct start that is still on its way has no effect once the worker knows a later token.
#[test]
fn an_end_is_acknowledged_under_a_token_later_than_its_start() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    harness.load();
    let running = harness.send_heartbeat(1, 7);
    assert_eq!(answer(&harness, running).0, 41);
    let mut ended = heartbeat(2, 41);
    let task = TaskId { job: id(), index: 0 };
    let status = TaskStatus::Exited(ExitReason::Completed);
    ended.tasks = [ReportedTask { task: task.clone(), attempt: 1, status }].into();
    let first =
        harness.send(|request| Event::Heartbeat { request, heartbeat: ended.clone(), relayed: false });
    assert_eq!(answer(&harness, first), (41, &[][..]), "the end is not durable");
    harness.run_without_events(ms(300));
    ended.sequence = 3;
    let second = harness.send(|request| Event::Heartbeat { request, heartbeat: ended, relayed: false });
    let (token, commands) = answer(&harness, second);
    assert!(token > 100, "a transaction was committed at revision {token}");
    assert_eq!(commands, [WorkerCommand::Acknowledge { task, attempt: 1 }]);
}

/// A worker drops an answer under a lower token than it has seen, and its lease would run out. The reply to a
/// direct command may have overtaken the heartbeat.
#[test]
fn an_overtaken_heartbeat_is_not_answered_under_a_lower_token() {
    let mut harness = NodeHarness::new();
    harness.elect(41);
    harness.load();
    harness.send_heartbeat(1, 7);
    let mut ended = heartbeat(3, 41);
    let status = TaskStatus::Exited(ExitReason::Completed);
    ended.tasks = [ReportedTask { task: TaskId { job: id(), index: 0 }, attempt: 1, status }].into();
    harness.send(|request| Event::Heartbeat { request, heartbeat: ended.clone(), relayed: false });
    harness.run_without_events(ms(300));
    ended.sequence = 4;
    let raising =
        harness.send(|request| Event::Heartbeat { request, heartbeat: ended.clone(), relayed: false });
    let (token, _) = answer(&harness, raising);
    assert!(token > 41);
    ended.sequence = 2;
    let overtaken = harness.send(|request| Event::Heartbeat { request, heartbeat: ended, relayed: false });
    assert_eq!(answer(&harness, overtaken), (token, &[][..]));
}

/// A worker may know a later token of the leader than a follower has seen in force.
#[test]
fn a_follower_asks_whether_the_term_covers_a_workers_token() {
    let question = |request: &KvRequest| {
        matches!(request, KvRequest::Txn { conditions, changes }
            if changes.is_empty() && conditions[..] == [Condition { key: "lead".into(), mod_revision: 41 }])
    };
    let covered = Ok(KvReply::Committed { revision: 60 });
    let over = Ok(KvReply::Conflict { failed: vec!["lead".into()] });
    let relayed = Response::Relay { host: "plank-1".into() };
    let unknown = Response::Redirect { host: None };
    for (reply, expected) in [(covered, relayed), (over, unknown.clone()), (Err(CallError::Refused), unknown)]
    {
        let mut harness = NodeHarness::new();
        let leader = r#"{"host":"plank-1","boot":3,"hold":9}"#;
        harness.reply(is_get("lead"), Ok(KvReply::Value(Some(row("lead", leader, 41)))));
        let request = harness.send_heartbeat(1, 60);
        assert_eq!(harness.response(request), None);
        harness.reply(question, reply);
        assert_eq!(harness.response(request), Some(&expected));
    }
}

/// Without an answer of the state service, the worker goes on to another node in time.
#[test]
fn a_heartbeat_waits_only_briefly_for_a_check_of_the_term() {
    let mut harness = NodeHarness::new();
    let leader = r#"{"host":"plank-1","boot":3,"hold":9}"#;
    harness.reply(is_get("lead"), Ok(KvReply::Value(Some(row("lead", leader, 41)))));
    let request = harness.send_heartbeat(1, 60);
    harness.advance(ms(2600));
    assert_eq!(harness.response(request), Some(&Response::Redirect { host: None }));
}
