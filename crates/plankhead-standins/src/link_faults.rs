//! Injects faults into single links of real controller processes, in one direction or both, and
//! checks that every job reached exactly one final answer.

use crate::answer_history::Verdict;
use crate::environment::Environment;
use crate::nodes::{Cluster, Route};
use crate::proxy::{Direction, Fault, Proxy};
use crate::request_counts::RequestCounts;
use crate::{kv_store, LoadArgs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// The time before the first cut, in which the cluster elects a leader and rents its first machines.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// The text that a node logs when its reachability mode changes.
const MODE_CHANGE_LINE: &str = "reachability mode changed: ";

/// The arguments that describe the cuts.
#[derive(Debug, Clone, clap::Args)]
pub struct LinkFaultArgs {
    /// Number of cuts, one after the other; each affects one to three links of a node.
    #[arg(long, default_value_t = 50)]
    pub cuts: u32,
    /// Seed for the choice of links, faults and durations.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Maximum duration of a cut in seconds.
    #[arg(long, default_value_t = 6.0)]
    pub longest_s: f64,
    /// Seconds after the last cut by which every job must be finished.
    #[arg(long = "patience-s", default_value_t = 120.0)]
    pub finish_timeout_s: f64,
    /// Period in seconds with which one link to the state service at a time goes down and up,
    /// instead of the random cuts; 0: random cuts.
    #[arg(long, default_value_t = 0.0)]
    pub flap_s: f64,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub verdict: Verdict,
    pub cuts: u32,
    /// The number of changes of the reachability mode that the nodes logged.
    pub mode_changes: usize,
}

/// The proxies of the links from one node to the services and the other nodes, and from workers to it.
#[derive(Debug)]
struct NodeLinks {
    state: Proxy,
    cloud: Proxy,
    /// The links to all nodes, by number. The link of the node to itself is not used.
    peers: Vec<Proxy>,
    /// Heartbeats of workers pass forward, the responses to them backward.
    heartbeats: Proxy,
}

/// The proxies of all nodes, by number.
#[derive(Debug)]
struct Links {
    nodes: Vec<NodeLinks>,
    /// The links over which the nodes send commands to workers.
    commands: Vec<Proxy>,
}

impl Links {
    async fn start(cluster: &Cluster) -> std::io::Result<Self> {
        let mut nodes = Vec::new();
        for (route, api) in cluster.routes().iter().zip(cluster.api_addresses()) {
            let mut peers = Vec::new();
            for peer in &route.peers {
                peers.push(Proxy::start(*peer).await?);
            }
            nodes.push(NodeLinks {
                state: Proxy::start(route.state).await?,
                cloud: Proxy::start(route.cloud).await?,
                peers,
                heartbeats: Proxy::start(api).await?,
            });
        }
        Ok(Self { nodes, commands: Vec::new() })
    }

    fn routes(&self) -> Vec<Route> {
        let route = |node: &NodeLinks| Route {
            state: node.state.address,
            cloud: node.cloud.address,
            peers: node.peers.iter().map(|peer| peer.address).collect(),
        };
        self.nodes.iter().map(route).collect()
    }

    /// Returns the proxies of one kind of link of a node.
    fn proxies(&self, node: usize, kind: u32) -> Vec<&Proxy> {
        let links = &self.nodes[node];
        match kind {
            0 | 1 => vec![&links.state],
            2 => vec![&links.heartbeats],
            3 => vec![&self.commands[node]],
            4 => links.peers.iter().collect(),
            5 => self.nodes.iter().map(|other| &other.peers[node]).collect(),
            _ => vec![&links.cloud],
        }
    }

    fn clear_faults(&self) {
        for node in &self.nodes {
            let single = [&node.state, &node.cloud, &node.heartbeats];
            node.peers.iter().chain(single).for_each(|proxy| proxy.set_fault(Fault::None));
        }
        self.commands.iter().for_each(|proxy| proxy.set_fault(Fault::None));
    }
}

fn draw_fault(random: &mut StdRng) -> Fault {
    let direction = [Direction::Forward, Direction::Backward, Direction::Both][random.random_range(0..3)];
    match random.random_range(0..5) {
        0 | 1 => Fault::Stall(direction),
        2 => Fault::Refuse,
        3 => Fault::Delay(direction, Duration::from_millis(random.random_range(200..2_500))),
        _ => Fault::Throttle(direction, Duration::from_millis(random.random_range(20..200))),
    }
}

/// Injects faults into one to three kinds of links of one node, and clears them after a random time.
async fn cut_once(links: &Links, args: &LinkFaultArgs, random: &mut StdRng) {
    let node = random.random_range(0..links.nodes.len());
    for _ in 0..random.random_range(1..=3) {
        let (kind, fault) = (random.random_range(0..7), draw_fault(random));
        links.proxies(node, kind).into_iter().for_each(|proxy| proxy.set_fault(fault));
    }
    let duration = random.random_range(0.3..=args.longest_s.max(0.4));
    tokio::time::sleep(Duration::from_secs_f64(duration)).await;
    if random.random_bool(0.3) {
        links.nodes[node].state.set_fault(Fault::Reset);
    }
    links.clear_faults();
    tokio::time::sleep(Duration::from_millis(random.random_range(100..3_000))).await;
}

/// Takes the link to the state service of one node down and up again eight times, then goes on to
/// the next node.
async fn flap(links: &Links, args: &LinkFaultArgs) {
    let half_period = Duration::from_secs_f64(args.flap_s / 2.0);
    for n in 0..args.cuts as usize {
        let node = &links.nodes[n / 8 % links.nodes.len()];
        node.state.set_fault(Fault::Stall(Direction::Both));
        tokio::time::sleep(half_period).await;
        links.clear_faults();
        tokio::time::sleep(half_period).await;
    }
}

/// Runs a cluster under load, injects faults through proxies, and checks the answers about all jobs.
pub async fn run(load: &LoadArgs, args: &LinkFaultArgs) -> std::io::Result<Outcome> {
    let counts = Arc::new(RequestCounts::default());
    let (state_address, state) = kv_store::start(counts.clone()).await?;
    let mut cluster = Cluster::plan(load, state_address)?;
    let mut links = Links::start(&cluster).await?;
    cluster.set_routes(links.routes());
    let heartbeat_addresses = links.nodes.iter().map(|node| node.heartbeats.address).collect();
    let commands = Some(&mut links.commands);
    let environment =
        Environment::start_with(load, cluster, (state, counts), heartbeat_addresses, commands).await?;
    let running = environment.cluster.start(load)?;
    environment.start_users(load);
    tokio::time::sleep(WARM_UP_TIME).await;
    let mut random = StdRng::seed_from_u64(args.seed);
    if args.flap_s > 0.0 {
        flap(&links, args).await;
    } else {
        for _ in 0..args.cuts {
            cut_once(&links, args, &mut random).await;
        }
    }
    let timeout = Duration::from_secs_f64(args.finish_timeout_s);
    let verdict = environment.finish(running, load, timeout).await?;
    let mode_changes = environment.cluster.count_logged(MODE_CHANGE_LINE);
    Ok(Outcome { verdict, cuts: args.cuts, mode_changes })
}
