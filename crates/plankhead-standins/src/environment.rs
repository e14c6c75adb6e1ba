//! Everything that controller processes meet, started together, without proxies.

use crate::answer_history::AnswerHistory;
use crate::cloud::Cloud;
use crate::kv_store::KvStore;
use crate::nodes::Cluster;
use crate::request_counts::RequestCounts;
use crate::{cloud, kv_store, users, workers, LoadArgs};
use std::sync::Arc;

/// The stand-ins of one cluster, and the cluster's plan.
pub struct Environment {
    pub cluster: Cluster,
    pub state: Arc<KvStore>,
    pub cloud: Arc<Cloud>,
    pub counts: Arc<RequestCounts>,
    pub history: Arc<AnswerHistory>,
    workload: Arc<users::Workload>,
}

impl Environment {
    pub async fn start(load: &LoadArgs) -> std::io::Result<Self> {
        let counts = Arc::new(RequestCounts::default());
        let history = Arc::new(AnswerHistory::default());
        let workload = Arc::new(users::Workload::default());
        let (state_address, state) = kv_store::start(counts.clone()).await?;
        let cluster = Cluster::plan(load, state_address)?;
        let nodes = cluster.api_addresses();
        let (counting, keeping) = (counts.clone(), history.clone());
        let workers = workers::Workers::start(load, nodes, workload.clone(), counting, keeping, None).await?;
        let cloud = cloud::start(&cluster.cloud_addresses, load, workers, state.clone()).await?;
        Ok(Self { cluster, state, cloud, counts, history, workload })
    }

    /// Has users submit jobs from now on.
    pub fn start_users(&self, load: &LoadArgs) {
        let nodes = self.cluster.api_addresses();
        let (workload, counts) = (self.workload.clone(), self.counts.clone());
        tokio::spawn(users::run(load.clone(), nodes, workload, counts, self.history.clone()));
    }
}
