//! The controller processes under load: their settings, and what they use.

use crate::{users, workers, LoadArgs};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::RngExt;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Clock ticks a second in /proc, on every Linux of today.
const TICKS_PER_SECOND: f64 = 100.0;

/// Addresses of a cluster that is not started yet.
#[derive(Debug)]
pub struct Cluster {
    /// The cloud's, one for each node.
    pub cloud_addresses: Vec<SocketAddr>,
    /// Where each node finds the state service and the cloud, and each other node.
    routes: Vec<Route>,
    api_addresses: Vec<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    directory: PathBuf,
}

/// How one node reaches the others and the services.
#[derive(Debug, Clone)]
pub struct Route {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    pub peers: Vec<SocketAddr>,
}

/// The processes, ended with this.
#[derive(Debug)]
pub struct RunningNodes(Vec<Child>);

/// What a process has used since it started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    user_s: f64,
    system_s: f64,
    peak_kb: u64,
}

/// Below the ports that the system gives to connections, which took planned ones before
/// the processes had bound them: those ended at once, and runs went on without them.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
/// How long processes may take to end after an interrupt, and how often it is looked.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Ports that are tried at the most.
const MAX_PORT_TRIES: usize = 1_000;

/// A loopback address that nobody has at the moment, and that no connection will be given.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let mut random = rand::rng();
    let candidates =
        (0..MAX_PORT_TRIES).map(|_| SocketAddr::from(([127, 0, 0, 1], random.random_range(PORT_RANGE))));
    let mut free_addresses = candidates.filter(|address| TcpListener::bind(address).is_ok());
    free_addresses.next().ok_or_else(|| std::io::Error::other("no port is free"))
}

impl Cluster {
    pub fn plan(args: &LoadArgs, state_address: SocketAddr) -> std::io::Result<Self> {
        let addresses = || (0..args.nodes).map(|_| free_address()).collect::<std::io::Result<Vec<_>>>();
        let directory =
            std::env::temp_dir().join(format!("plankhead-{}-{}", std::process::id(), free_address()?.port()));
        std::fs::create_dir_all(&directory)?;
        let (cloud_addresses, peer_addresses) = (addresses()?, addresses()?);
        let route =
            |cloud: &SocketAddr| Route { state: state_address, cloud: *cloud, peers: peer_addresses.clone() };
        let routes = cloud_addresses.iter().map(route).collect();
        Ok(Self { cloud_addresses, routes, api_addresses: addresses()?, peer_addresses, directory })
    }

    pub fn api_addresses(&self) -> Vec<SocketAddr> {
        self.api_addresses.clone()
    }

    /// Lines with this text in the nodes' logs.
    pub fn count_logged(&self, text: &str) -> usize {
        let path = |node| self.directory.join(format!("node-{node}.log"));
        let logs = (0..self.api_addresses.len()).filter_map(|node| std::fs::read_to_string(path(node)).ok());
        logs.map(|log| log.lines().filter(|line| line.contains(text)).count()).sum()
    }

    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Has the nodes reach everything in other ways, as through proxies.
    pub fn set_routes(&mut self, routes: Vec<Route>) {
        self.routes = routes;
    }

    fn settings(&self, args: &LoadArgs, node: usize) -> Value {
        let host = |i: usize| format!("plank-{i}");
        let sibling = |i| json!({"host_name": host(i), "location": workers::ZONE, "address": self.routes[node].peers[i].to_string()});
        let siblings: Vec<Value> = (0..args.nodes).filter(|i| *i != node).map(sibling).collect();
        let cpus = 16.0 * args.machines as f64;
        json!({
            "host_name": host(node), "location": workers::ZONE,
            "api_addr": self.api_addresses[node].to_string(), "peer_bind": self.peer_addresses[node].to_string(),
            "siblings": siblings,
            "endpoints": {"cloud": self.routes[node].cloud.to_string(), "state": self.routes[node].state.to_string()},
            "params": {
                "nodes": args.nodes, "zones": [workers::ZONE],
                "teams": [{"name": users::TEAM, "cpus": cpus, "cpus_max": cpus * 2.0, "gpus": 0.0, "gpus_max": 0.0}],
                "objectives": [{"kind": "wait", "class": users::CLASS, "within_s": 6.0, "share": 0.9}],
                "workers": {"report_s": args.report_s, "lease_s": args.lease_s, "cancel_s": args.cancel_s},
                "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
                "cloud": {"rps": 3.0, "list_lag_s": 3.0},
                "quota": {"cpu": 1.0, "ram_mb": 37.0, "sockets": args.sockets},
                "clock_off_ms": 100.0
            }
        })
    }

    /// Starts one node's process; its log goes on where one of before ended.
    pub fn start_node(&self, args: &LoadArgs, node: usize) -> std::io::Result<Child> {
        let path = self.directory.join(format!("node-{node}.json"));
        std::fs::write(&path, self.settings(args, node).to_string())?;
        let mut command_line: Vec<&str> =
            if node == 0 { args.wrap.split_whitespace().collect() } else { Vec::new() };
        let binary = args.binary.to_string_lossy();
        command_line.push(&binary);
        let log = self.directory.join(format!("node-{node}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(command_line[0]);
        command.args(&command_line[1..]).args(args.node_arguments.split_whitespace());
        command.arg("--config").arg(&path).stdin(Stdio::null()).stderr(log);
        command.spawn()
    }

    pub fn start(&self, args: &LoadArgs) -> std::io::Result<RunningNodes> {
        let mut children = Vec::new();
        for node in 0..args.nodes {
            children.push(self.start_node(args, node)?);
            if node == 0 {
                // The first node is the one that is profiled: it shall lead.
                std::thread::sleep(std::time::Duration::from_millis(if args.wrap.is_empty() {
                    200
                } else {
                    3_000
                }));
            }
        }
        println!("settings and logs: {}", self.directory.display());
        Ok(RunningNodes(children))
    }
}

impl Drop for RunningNodes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl RunningNodes {
    /// Takes charge of processes that were started elsewhere.
    pub fn new(children: Vec<Child>) -> Self {
        Self(children)
    }

    /// Nodes whose processes have ended by themselves.
    pub fn exited(&mut self) -> Vec<usize> {
        let has_exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        (0..).zip(&mut self.0).filter_map(|(node, child)| has_exited(child).then_some(node)).collect()
    }

    /// Stops all processes, or fails if one has ended by itself before.
    pub fn stop_all_running(&mut self) -> std::io::Result<()> {
        let exited = self.exited();
        if !exited.is_empty() {
            return Err(std::io::Error::other(format!("the processes of nodes {exited:?} ended")));
        }
        self.stop();
        Ok(())
    }

    /// The number of processes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Stops a process where it stands.
    pub fn pause(&self, node: usize) {
        self.signal(node, Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self, node: usize) {
        self.signal(node, Signal::SIGCONT);
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, node: usize) {
        if let Some(child) = self.0.get_mut(node) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Takes charge of a node's new process in the place of one that has ended.
    pub fn replace(&mut self, node: usize, child: Child) {
        self.kill(node);
        if let Some(slot) = self.0.get_mut(node) {
            *slot = child;
        }
    }

    fn signal(&self, node: usize, signal: Signal) {
        let process = self.0.get(node).and_then(|child| i32::try_from(child.id()).ok());
        if let Some(process) = process {
            // A process that has ended by itself can't be paused; the run goes on.
            let _ = kill(Pid::from_raw(process), signal);
        }
    }

    pub fn usage(&mut self) -> Vec<Usage> {
        self.0.iter().map(|child| usage(child.id())).collect()
    }

    /// Prints what each process used since `before`.
    pub fn print(&mut self, before: &[Usage], seconds: u64) {
        let now = self.usage();
        for (node, (now, before)) in now.iter().zip(before).enumerate() {
            let share = |now: f64, before: f64| (now - before) / seconds as f64;
            println!(
                "node {node}: {:.4} of a core in the program, {:.4} in the kernel, at most {} kB",
                share(now.user_s, before.user_s),
                share(now.system_s, before.system_s),
                now.peak_kb,
            );
        }
    }

    /// Ends all processes. A profiler writes its figures when it is interrupted, which takes
    /// a while; what has not ended by then is killed. A process that was started with the
    /// interrupt ignored, as by a script in the background, never ends on it.
    pub fn stop(&mut self) {
        for node in 0..self.0.len() {
            self.signal(node, Signal::SIGINT);
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        for child in &mut self.0 {
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < deadline {
                std::thread::sleep(STOP_POLL_INTERVAL);
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn usage(process: u32) -> Usage {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
    let stat = read("stat");
    // The fields after the name, which may hold spaces.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split_whitespace().collect();
    let seconds =
        |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).unwrap_or_default() / TICKS_PER_SECOND;
    let status = read("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|p| p.split_whitespace().next()).and_then(|kb| kb.parse().ok());
    Usage { user_s: seconds(11), system_s: seconds(12), peak_kb: peak_kb.unwrap_or_default() }
}
