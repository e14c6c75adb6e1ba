//! The controller processes under load: their settings, their control, and their use of resources.

use crate::{users, workers, LoadArgs};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::RngExt;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Clock ticks per second in `/proc/<pid>/stat`, which is 100 on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// The addresses, settings and logs of a cluster, independent of its processes.
#[derive(Debug)]
pub struct Cluster {
    /// The addresses of the cloud, one for each node.
    pub cloud_addresses: Vec<SocketAddr>,
    /// The addresses at which each node reaches the services and the other nodes.
    routes: Vec<Route>,
    api_addresses: Vec<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    directory: PathBuf,
}

/// The addresses at which one node reaches the services and the other nodes.
#[derive(Debug, Clone)]
pub struct Route {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// The addresses of all nodes by number, including the node itself.
    pub peers: Vec<SocketAddr>,
}

/// The processes of the nodes, by number. Dropping this value kills them.
#[derive(Debug)]
pub struct RunningNodes(Vec<Child>);

/// The CPU time that a process has used since its start, and its peak memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    user_s: f64,
    system_s: f64,
    peak_kb: u64,
}

/// The range of the nodes' ports. It is below the ephemeral port range, from which the system
/// assigns ports to outgoing connections. Planned ports from that range were taken before the
/// processes had bound them: the processes exited at once, and the run continued without them.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
/// The time that processes have to exit after an interrupt.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval of the check whether a process has exited.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of ports that are tried.
const MAX_PORT_TRIES: usize = 1_000;

/// Returns a loopback address whose port is unused at the moment, and which the system does not assign
/// to an outgoing connection.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let mut random = rand::rng();
    let candidates =
        (0..MAX_PORT_TRIES).map(|_| SocketAddr::from(([127, 0, 0, 1], random.random_range(PORT_RANGE))));
    let mut free_addresses = candidates.filter(|address| TcpListener::bind(address).is_ok());
    free_addresses.next().ok_or_else(|| std::io::Error::other("no free port found"))
}

impl Cluster {
    /// Chooses the addresses of a cluster, and creates the directory for its settings and logs.
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

    /// Returns the number of lines in the logs of all nodes that contain `text`.
    pub fn count_logged(&self, text: &str) -> usize {
        let path = |node| self.directory.join(format!("node-{node}.log"));
        let logs = (0..self.api_addresses.len()).filter_map(|node| std::fs::read_to_string(path(node)).ok());
        logs.map(|log| log.lines().filter(|line| line.contains(text)).count()).sum()
    }

    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Replaces the addresses at which nodes reach the services and each other, for example by those
    /// of proxies.
    pub fn set_routes(&mut self, routes: Vec<Route>) {
        self.routes = routes;
    }

    fn settings(&self, args: &LoadArgs, node: usize) -> Value {
        let host = |i: usize| format!("plank-{i}");
        let sibling = |i| {
            json!({"host_name": host(i), "location": workers::ZONE,
                "address": self.routes[node].peers[i].to_string()})
        };
        let siblings: Vec<Value> = (0..args.nodes).filter(|i| *i != node).map(sibling).collect();
        let cpus = 16.0 * args.machines as f64;
        json!({
            "host_name": host(node), "location": workers::ZONE,
            "api_addr": self.api_addresses[node].to_string(),
            "peer_bind": self.peer_addresses[node].to_string(),
            "siblings": siblings,
            "endpoints": {"cloud": self.routes[node].cloud.to_string(),
                "state": self.routes[node].state.to_string()},
            "params": {
                "nodes": args.nodes, "zones": [workers::ZONE],
                "teams": [{"name": users::TEAM, "cpus": cpus, "cpus_max": cpus * 2.0,
                    "gpus": 0.0, "gpus_max": 0.0}],
                "objectives": [{"kind": "wait", "class": users::CLASS, "within_s": 6.0, "share": 0.9}],
                "workers": {"report_s": args.report_s, "lease_s": args.lease_s, "cancel_s": args.cancel_s},
                "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
                "cloud": {"rps": 3.0, "list_lag_s": 3.0},
                "quota": {"cpu": 1.0, "ram_mb": 37.0, "sockets": args.sockets},
                "clock_off_ms": 100.0
            }
        })
    }

    /// Starts the process of one node. It appends to the log of an earlier process of that node.
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
                // The profiler, if any, runs the first node. The delay lets that node become the leader.
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
    /// Takes control of processes that were started elsewhere.
    pub fn new(children: Vec<Child>) -> Self {
        Self(children)
    }

    /// Returns the nodes whose processes have exited.
    pub fn exited(&mut self) -> Vec<usize> {
        let has_exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        (0..).zip(&mut self.0).filter_map(|(node, child)| has_exited(child).then_some(node)).collect()
    }

    /// Stops all processes. Fails without stopping any if one has already exited.
    pub fn stop_all_running(&mut self) -> std::io::Result<()> {
        let exited = self.exited();
        if !exited.is_empty() {
            return Err(std::io::Error::other(format!(
                "the processes of nodes {exited:?} exited unexpectedly"
            )));
        }
        self.stop();
        Ok(())
    }

    /// Returns the number of processes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&self, node: usize) {
        self.signal(node, Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self, node: usize) {
        self.signal(node, Signal::SIGCONT);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        if let Some(child) = self.0.get_mut(node) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process of a node if it still runs, and takes control of a new one in its place.
    pub fn replace(&mut self, node: usize, child: Child) {
        self.kill(node);
        if let Some(slot) = self.0.get_mut(node) {
            *slot = child;
        }
    }

    fn signal(&self, node: usize, signal: Signal) {
        let process = self.0.get(node).and_then(|child| i32::try_from(child.id()).ok());
        if let Some(process) = process {
            // The signal fails if the process has exited by itself; the run continues.
            let _ = kill(Pid::from_raw(process), signal);
        }
    }

    pub fn usage(&mut self) -> Vec<Usage> {
        self.0.iter().map(|child| usage(child.id())).collect()
    }

    /// Prints the average CPU use of each process since `before`, the usage `seconds` ago, and its peak
    /// memory.
    pub fn print(&mut self, before: &[Usage], seconds: u64) {
        let now = self.usage();
        for (node, (now, before)) in now.iter().zip(before).enumerate() {
            let share = |now: f64, before: f64| (now - before) / seconds as f64;
            println!(
                "node {node}: {:.4} cores in user mode, {:.4} in the kernel, peak memory {} kB",
                share(now.user_s, before.user_s),
                share(now.system_s, before.system_s),
                now.peak_kb,
            );
        }
    }

    /// Interrupts all processes, and kills those that have not exited within `STOP_TIMEOUT`. A
    /// profiler writes its results when it is interrupted, which takes some time. A process that was
    /// started with the interrupt ignored, as by a script that runs in the background, never exits
    /// on it.
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
    // The fields after the command name, which may contain spaces.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split_whitespace().collect();
    let seconds =
        |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).unwrap_or_default() / TICKS_PER_SECOND;
    let status = read("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|p| p.split_whitespace().next()).and_then(|kb| kb.parse().ok());
    Usage { user_s: seconds(11), system_s: seconds(12), peak_kb: peak_kb.unwrap_or_default() }
}
