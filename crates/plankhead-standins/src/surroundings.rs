//! Everything that controller processes meet, started together, without proxies.

use crate::cloud::Cloud;
use crate::counts::Counts;
use crate::finals::History;
use crate::nodes::Cluster;
use crate::state::State;
use crate::{cloud, state, users, workers, Load};
use std::sync::Arc;

/// The stand-ins of one cluster, and the cluster's plan.
pub struct Surroundings {
    pub cluster: Cluster,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub counts: Arc<Counts>,
    pub history: Arc<History>,
    workload: Arc<users::Workload>,
}

impl Surroundings {
    pub async fn start(load: &Load) -> std::io::Result<Self> {
        let counts = Arc::new(Counts::default());
        let history = Arc::new(History::default());
        let workload = Arc::new(users::Workload::default());
        let (state_address, state) = state::start(counts.clone()).await?;
        let cluster = Cluster::plan(load, state_address)?;
        let nodes = cluster.api_addresses();
        let (counting, keeping) = (counts.clone(), history.clone());
        let workers = workers::Workers::start(load, nodes, workload.clone(), counting, keeping, None).await?;
        let cloud = cloud::start(&cluster.cloud_addresses, load, workers, state.clone()).await?;
        Ok(Self { cluster, state, cloud, counts, history, workload })
    }

    /// Has users submit jobs from now on.
    pub fn start_users(&self, load: &Load) {
        let nodes = self.cluster.api_addresses();
        let (workload, counts) = (self.workload.clone(), self.counts.clone());
        tokio::spawn(users::run(load.clone(), nodes, workload, counts, self.history.clone()));
    }
}
