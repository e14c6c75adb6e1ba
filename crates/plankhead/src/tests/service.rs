//! Tests of a whole node over loopback, against stand-ins for the state service, the cloud and workers.

use super::standins::{self, SharedState};
use crate::clients::peers::PeerClient;
use crate::http::{self, Client};
use crate::runtime;
use crate::settings::operator::OperatorFile;
use crate::settings::platform::parse;
use hyper::Method;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

struct Service {
    state: SharedState,
    public_address: SocketAddr,
    controller_address: SocketAddr,
    public_client: Client,
    controller_client: Client,
}

/// Returns a free address whose port is outside the range that the system assigns to connections. With a
/// port from that range, a connection of another test could take the port before the node bound it; the
/// node then stopped unnoticed, and the test timed out after 20 s.
fn free_address() -> SocketAddr {
    plankhead_standins::nodes::free_address().unwrap()
}

async fn start() -> Service {
    let (state, kv_address, cloud_address) = standins::start_servers().await;
    let mut settings = super::settings::platform_file();
    let (public_address, controller_address) = (free_address(), free_address());
    settings["api_addr"] = json!(public_address.to_string());
    settings["peer_bind"] = json!(controller_address.to_string());
    settings["endpoints"] = json!({"cloud": cloud_address.to_string(), "state": kv_address.to_string()});
    let config = parse(&settings, &OperatorFile::default(), &mut Vec::new());
    tokio::spawn(async move {
        let result = runtime::run(config).await;
        panic!("the node stopped: {result:?}");
    });
    let service = Service {
        state,
        public_address,
        controller_address,
        public_client: Client::new(public_address),
        controller_client: Client::new(controller_address),
    };
    // The node is ready once it knows the machine types, and then refuses an impossible job with 422.
    let impossible = job_request("job-000000", 1, json!({"crew": "nobody"}));
    service.poll_until(Method::POST, "/work", impossible, |code, _| code == 422).await;
    service
}

fn job_request(id: &str, tasks: u32, change: Value) -> Value {
    let mut job = json!({"nameId": id, "lane": "c", "crew": "t", "shape": "array", "urgency": "urgent",
        "pieces": tasks, "cpus": 1.0, "gpus": 0.0, "ramGb": 1.0, "bundle": "img", "imageGb": 0.1,
        "rigs": null, "yard": null, "samePlace": false, "scatter": false, "loaners": true,
        "guessS": 1.0, "bookmarkS": 0.0, "stowS": 0.0, "dueS": null});
    for (key, value) in change.as_object().unwrap() {
        job[key] = value.clone();
    }
    job
}

impl Service {
    async fn request(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        match self.public_client.call(method, path, body, Duration::from_secs(5)).await {
            Ok((status, body)) => (status.as_u16(), serde_json::from_slice(&body).unwrap()),
            Err(_) => (0, Value::Null),
        }
    }

    async fn submit(&self, job: Value) -> u16 {
        self.request(Method::POST, "/work", job).await.0
    }

    /// Repeats a request until its reply is accepted, for 20 s at most.
    async fn poll_until(
        &self,
        method: Method,
        path: &str,
        body: Value,
        is_accepted: impl Fn(u16, &Value) -> bool,
    ) {
        let start = Instant::now();
        loop {
            let (code, answer) = self.request(method.clone(), path, body.clone()).await;
            if is_accepted(code, &answer) {
                return;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "{path}: {code} {answer}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn wait_until_done(&self, path: &str) {
        self.poll_until(Method::GET, path, Value::Null, |_, a| a["status"] == "done").await;
    }
}

#[tokio::test]
async fn array_job_runs_and_invalid_requests_are_refused() {
    let service = start().await;
    let worker = standins::start_machine(&service.state, "i-000001", service.public_address).await;
    assert_eq!(service.submit(job_request("job-000001", 10, json!({}))).await, 201);
    for (change, code) in [
        (json!({"pieces": 0}), 400),
        (json!({"pieces": 100_001}), 400),
        (json!({"cpus": -1}), 400),
        (json!({"cpus": "1"}), 400),
        (json!({"shape": "ring"}), 400),
        (json!({"urgency": "now"}), 400),
        (json!({"guessS": 1e300}), 400),
        (json!({"crew": "nobody"}), 422),
        (json!({"cpus": 5}), 422),
        (json!({"rigs": ["q"]}), 422),
        (json!({"nameId": "task-1"}), 400),
    ] {
        assert_eq!(service.submit(job_request("job-000002", 1, change.clone())).await, code, "{change}");
    }
    assert_eq!(service.submit(json!([])).await, 400);
    // A submission with a known id is answered before the job is checked.
    assert_eq!(service.submit(job_request("job-000001", 0, json!({}))).await, 200);
    assert_eq!(service.request(Method::GET, "/work/job-000002", Value::Null).await.0, 404);
    assert_eq!(service.request(Method::POST, "/work/job-000002/abort", Value::Null).await.0, 404);
    assert_eq!(service.request(Method::PUT, "/work", Value::Null).await.0, 405);
    assert_eq!(service.request(Method::GET, "/nowhere", Value::Null).await.0, 404);
    let heartbeat = json!({"host": "i-000009", "pieces": [{"piece": "job-1"}]});
    assert_eq!(service.request(Method::POST, "/agent/beat", heartbeat).await.0, 400);
    service.wait_until_done("/work/job-000001").await;
    assert_eq!(worker.lock().unwrap().starts, 10);
    let (status, view) = service
        .controller_client
        .call(Method::GET, "/view", Vec::new(), Duration::from_secs(1))
        .await
        .unwrap();
    let view: Value = serde_json::from_slice(&view).unwrap();
    assert_eq!((status.as_u16(), &view["leader"]["ready"]), (200, &json!(true)));
}

/// The other node runs the previous version until its record shows the current one. Until then no gang may
/// be stored, since the previous version would read it as an array.
#[tokio::test]
async fn gangs_are_accepted_once_all_nodes_are_upgraded() {
    let service = start().await;
    let gang = |id: &str, tasks: u32, change: Value| {
        let mut gang = job_request(id, tasks, change);
        gang["shape"] = json!("group");
        gang
    };
    let one = gang("job-000001", 4, json!({}));
    assert_eq!(service.submit(one.clone()).await, 503);
    // Final refusals don't wait for the upgrade: 97 CPUs exceed the team's limit of 96.
    assert_eq!(service.submit(gang("job-000002", 97, json!({}))).await, 422);
    let contradictory = json!({"samePlace": true, "scatter": true});
    assert_eq!(service.submit(gang("job-000003", 2, contradictory)).await, 422);
    assert_eq!(service.submit(job_request("job-000004", 1, json!({"shape": "standing"}))).await, 400);
    service.state.lock().unwrap().write_key("node/plank-1", json!({"format": 0}));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(service.submit(one.clone()).await, 503);
    service.state.lock().unwrap().write_key("node/plank-1", json!({"format": 1}));
    service.poll_until(Method::POST, "/work", one.clone(), |code, _| code == 201).await;
    assert_eq!(service.submit(one).await, 200);
    let (_, view) = service
        .controller_client
        .call(Method::GET, "/view", Vec::new(), Duration::from_secs(1))
        .await
        .unwrap();
    let view: Value = serde_json::from_slice(&view).unwrap();
    assert_eq!(view["allNodesUpgraded"], json!(true));
    assert_eq!(view["leader"]["gangsWaiting"][0]["waitsFor"], json!("room for all tasks at once"), "{view}");
}

#[tokio::test]
async fn cancels_jobs_and_answers_at_once_without_the_state_service() {
    let service = start().await;
    assert_eq!(service.submit(job_request("job-000003", 3, json!({}))).await, 201);
    let (code, answer) = service.request(Method::POST, "/work/job-000003/abort", Value::Null).await;
    assert_eq!((code, &answer["status"]), (200, &json!("cancelled")));
    assert_eq!(service.submit(job_request("job-000004", 1, json!({}))).await, 201);
    service.state.lock().unwrap().kv_unavailable = true;
    let started = Instant::now();
    let body = job_request("job-000005", 1, json!({})).to_string().into_bytes();
    assert_eq!(service.submit(serde_json::from_slice(&body).unwrap()).await, 503);
    assert_eq!(service.request(Method::GET, "/work/job-000004", Value::Null).await.0, 503);
    // A final status may be answered from memory.
    let (code, answer) = service.request(Method::GET, "/work/job-000003", Value::Null).await;
    assert_eq!((code, &answer["status"]), (200, &json!("cancelled")));
    assert!(started.elapsed() < Duration::from_secs(1), "refusals must not be delayed");
    service.state.lock().unwrap().kv_unavailable = false;
    service
        .poll_until(Method::POST, "/work", job_request("job-000005", 1, json!({})), |code, _| code == 201)
        .await;
}

/// A commit with a malformed reply may have been applied, which only reading the key again shows. The job
/// must not be lost or run twice.
#[tokio::test]
async fn commit_with_a_malformed_reply_is_verified() {
    let service = start().await;
    service.state.lock().unwrap().malformed_commit_replies = 1;
    let code = service.submit(job_request("job-000006", 2, json!({}))).await;
    assert!(matches!(code, 200 | 201), "{code}");
    let worker = standins::start_machine(&service.state, "i-000002", service.public_address).await;
    service.state.lock().unwrap().malformed_commit_replies = 2;
    service.wait_until_done("/work/job-000006").await;
    assert_eq!(worker.lock().unwrap().starts, 2);
}

/// The leader answers a worker's heartbeat that a peer relays, and refuses a relayed message that is not a
/// heartbeat. After a failed relay, nothing is relayed for a while.
#[tokio::test]
async fn relayed_heartbeat_is_answered_by_the_leader() {
    let service = start().await;
    standins::start_machine(&service.state, "i-000003", service.public_address).await;
    assert_eq!(service.submit(job_request("job-000007", 1, json!({}))).await, 201);
    service.wait_until_done("/work/job-000007").await;
    let heartbeat = json!({"host": "i-000003", "address": "127.0.0.1:9", "rig": "r", "yard": "a",
        "loaners": true, "shift": 1, "tick": 1, "baton": 0, "warningS": null, "pieces": []});
    let peer = PeerClient::new(service.controller_address);
    let reply = peer.relay(heartbeat.to_string().as_bytes()).await.unwrap();
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((reply.status, body["baton"].as_u64() > Some(0)), (200, true), "{body}");
    assert!(peer.relay(b"{}").await.is_none());
    let started = Instant::now();
    assert!(
        peer.relay(heartbeat.to_string().as_bytes()).await.is_none(),
        "relays must pause after a failure"
    );
    assert!(started.elapsed() < Duration::from_millis(500));
}

/// After a failover, all workers connect at once. Each must be answered before its timeout, and users must
/// be answered in the meantime. Connections beyond the limit are closed at once, and new ones are accepted
/// again once others have been closed.
#[tokio::test]
async fn many_workers_connect_at_once_and_excess_connections_are_closed() {
    let service = start().await;
    standins::start_machine(&service.state, "i-000004", service.public_address).await;
    assert_eq!(service.submit(job_request("job-000008", 1, json!({}))).await, 201);
    service.wait_until_done("/work/job-000008").await;
    let clients: Vec<Arc<Client>> = (0..400).map(|_| Arc::new(Client::new(service.public_address))).collect();
    let requests = clients.iter().enumerate().map(|(n, client)| {
        let heartbeat = json!({"host": format!("i-1{n:05}"), "address": "127.0.0.1:9", "rig": "r",
            "yard": "a", "loaners": true, "shift": 1, "tick": 1, "baton": 0, "warningS": null, "pieces": []});
        let client = client.clone();
        tokio::spawn(async move {
            let body = heartbeat.to_string().into_bytes();
            let start = Instant::now();
            loop {
                // Client and server share a thread here, so connecting may reach its time limit.
                match client.call(Method::POST, "/agent/beat", body.clone(), Duration::from_secs(4)).await {
                    Ok((status, _)) => return (status.as_u16(), start.elapsed()),
                    Err(_) => assert!(start.elapsed() < Duration::from_secs(8), "no reply within 8 s"),
                }
            }
        })
    });
    for request in requests.collect::<Vec<_>>() {
        let (status, took) = request.await.unwrap();
        assert!(status == 200 && took < Duration::from_secs(4), "{status} after {took:?}");
    }
    assert_eq!(service.submit(job_request("job-000009", 1, json!({}))).await, 201);
    // 450 of the 600 sockets are for incoming connections.
    let mut connections = Vec::new();
    for _ in 0..100 {
        connections.push(TcpStream::connect(service.public_address).await.unwrap());
    }
    let mut last = connections.pop().unwrap();
    let closed = timeout(Duration::from_secs(1), last.read(&mut [0; 1])).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "{closed:?}");
    assert_eq!(service.request(Method::GET, "/healthz", Value::Null).await.0, 200);
    drop((connections, clients));
    let late = Client::new(service.public_address);
    let start = Instant::now();
    while late.call(Method::GET, "/healthz", Vec::new(), Duration::from_secs(1)).await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(5), "no new connection is accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Connections that send nothing or only a part of a request are closed after the idle timeout. A connection
/// with regular requests stays open, regardless of its age.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_closed_and_active_ones_stay() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = |_| async { http::Reply { status: 200, body: b"{}".to_vec(), retry_after: None } };
    tokio::spawn(http::serve(listener, 100, answer));
    let mut idle = TcpStream::connect(address).await.unwrap();
    let mut partial = TcpStream::connect(address).await.unwrap();
    partial.write_all(b"GET /healthz HTTP/1.1\r\nHos").await.unwrap();
    let mut active = TcpStream::connect(address).await.unwrap();
    let start = tokio::time::Instant::now();
    for _ in 0..4 {
        tokio::time::sleep(http::IDLE_TIMEOUT * 4 / 5).await;
        active.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let mut answered = [0; 15];
        active.read_exact(&mut answered).await.unwrap();
        assert_eq!(&answered, b"HTTP/1.1 200 OK");
        let mut rest = [0; 512];
        let _ = active.read(&mut rest).await.unwrap();
    }
    for stream in [&mut idle, &mut partial] {
        let mut rest = Vec::new();
        let closed = timeout(Duration::from_secs(1), stream.read_to_end(&mut rest)).await;
        assert!(matches!(closed, Ok(Ok(0))), "{closed:?} after {:?}", start.elapsed());
    }
    assert!(start.elapsed() < http::IDLE_TIMEOUT * 4);
}
