//! The stand-ins that a cluster needs, started together.

use crate::answer_history::{self, AnswerHistory, Verdict};
use crate::cloud::Cloud;
use crate::kv_store::KvStore;
use crate::nodes::{Cluster, RunningNodes};
use crate::proxy::Proxy;
use crate::request_counts::RequestCounts;
use crate::{cloud, kv_store, users, workers, LoadArgs};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval of the check whether all jobs are finished.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The stand-ins of one cluster, and the addresses of its nodes.
pub struct Environment {
    /// The cluster. Starting the stand-ins does not start its processes.
    pub cluster: Cluster,
    /// The state service.
    pub state: Arc<KvStore>,
    /// The cloud.
    pub cloud: Arc<Cloud>,
    /// The counts of the requests so far.
    pub counts: Arc<RequestCounts>,
    /// The answers and attempts so far.
    pub history: Arc<AnswerHistory>,
    workload: Arc<users::Workload>,
}

impl Environment {
    /// Starts the stand-ins for a cluster that reaches them without proxies.
    pub async fn start(load: &LoadArgs) -> std::io::Result<Self> {
        let counts = Arc::new(RequestCounts::default());
        let (state_address, state) = kv_store::start(counts.clone()).await?;
        let cluster = Cluster::plan(load, state_address)?;
        let heartbeat_addresses = cluster.api_addresses();
        Self::start_with(load, cluster, (state, counts), heartbeat_addresses, None).await
    }

    /// Starts the workers and the cloud for a planned cluster. Workers send their heartbeats to
    /// `heartbeat_addresses`, one for each node. If `commands` is given, a proxy for the commands
    /// of each node is started and added to it.
    pub(crate) async fn start_with(
        load: &LoadArgs,
        cluster: Cluster,
        (state, counts): (Arc<KvStore>, Arc<RequestCounts>),
        heartbeat_addresses: Vec<SocketAddr>,
        commands: Option<&mut Vec<Proxy>>,
    ) -> std::io::Result<Self> {
        let history = Arc::new(AnswerHistory::default());
        let workload = Arc::new(users::Workload::default());
        let workers = workers::Workers::start(
            load,
            heartbeat_addresses,
            workload.clone(),
            counts.clone(),
            history.clone(),
            commands,
        )
        .await?;
        let cloud = cloud::start(&cluster.cloud_addresses, load, workers, state.clone()).await?;
        Ok(Self { cluster, state, cloud, counts, history, workload })
    }

    /// Starts the users, who submit jobs from now on.
    pub fn start_users(&self, load: &LoadArgs) {
        let nodes = self.cluster.api_addresses();
        let (workload, counts) = (self.workload.clone(), self.counts.clone());
        tokio::spawn(users::submit_jobs(load.clone(), nodes, workload, counts, self.history.clone()));
    }

    /// Waits until all jobs are finished or `timeout` has passed, stops the processes, and checks
    /// the answers about the jobs. Fails if a process has exited by itself.
    pub async fn finish(
        &self,
        mut running: RunningNodes,
        load: &LoadArgs,
        timeout: Duration,
    ) -> std::io::Result<Verdict> {
        let deadline = Instant::now() + timeout;
        while self.counts.jobs_finished() < load.jobs && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        running.stop_all_running()?;
        Ok(answer_history::check_all(&self.history, load))
    }
}
