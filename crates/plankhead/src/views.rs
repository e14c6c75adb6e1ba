//! The subcommand that asks every controller for its view, and prints what they see of
//! each other and where they disagree.

use crate::config::Config;
use crate::http::Client;
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(2);

/// What one controller says of itself and the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeView {
    pub mode: String,
    pub since_s: f64,
    /// The node that it takes for the leader.
    pub leader: Option<String>,
    /// Links of its own that are down.
    pub down: Vec<String>,
    /// Workers that report to it.
    pub heard: u64,
    /// Whether each peer's heartbeats reach it.
    pub hears: BTreeMap<String, bool>,
}

/// The views by node; `None`: it did not answer.
pub type Views = BTreeMap<String, Option<NodeView>>;

/// What all controllers that the settings name answer, as it comes, at the same time.
pub async fn ask_views(config: &Config) -> BTreeMap<String, Option<Value>> {
    let own = (config.core.host.clone(), config.peer);
    let mut asked = tokio::task::JoinSet::new();
    for (host, address) in config.siblings.iter().cloned().chain([own]) {
        asked.spawn(async move { (host, ask(address).await) });
    }
    asked.join_all().await.into_iter().collect()
}

/// What they say of each other.
pub async fn ask_all(config: &Config) -> Views {
    let views = ask_views(config).await.into_iter();
    views.map(|(host, view)| (host, view.as_ref().map(read))).collect()
}

async fn ask(address: std::net::SocketAddr) -> Option<Value> {
    let answer = Client::new(address).call(Method::GET, "/view", Vec::new(), PATIENCE).await;
    let (status, body) = answer.ok()?;
    serde_json::from_slice(&body).ok().filter(|_| status.is_success())
}

/// Reads what a controller answered; one without reachability says less.
pub fn read(view: &Value) -> NodeView {
    let text = |value: &Value| value.as_str().map(str::to_owned);
    let reach = &view["reachability"];
    let leads = !view["leader"].is_null();
    let links = reach["links"].as_array().cloned().unwrap_or_default();
    let link_name = |link: &Value| match link["peer"].as_str() {
        Some(peer) => format!("{} {peer}", link["link"].as_str().unwrap_or_default()),
        None => link["link"].as_str().unwrap_or_default().to_owned(),
    };
    let heartbeats = links.iter().filter(|link| link["link"] == "peerIn");
    let hears = heartbeats.filter_map(|link| Some((text(&link["peer"])?, link["condition"] != "down")));
    // Nodes of the version before name the leader `foreman` and the peers `siblings`.
    let leader_host = view.get("leaderHost").unwrap_or(&view["foreman"]);
    let peers = view.get("peers").unwrap_or(&view["siblings"]).as_array().into_iter().flatten();
    let told = peers.filter_map(|peer| Some((text(&peer["host"])?, peer["heardS"].as_f64()? < 4.0)));
    let hears: BTreeMap<String, bool> = if reach.is_null() { told.collect() } else { hears.collect() };
    NodeView {
        mode: text(&reach["mode"]).unwrap_or_else(|| "not judged".into()),
        since_s: reach["sinceS"].as_f64().unwrap_or_default(),
        leader: if leads { text(&view["host"]) } else { text(leader_host) },
        down: links.iter().filter(|link| link["condition"] == "down").map(link_name).collect(),
        heard: reach["heard"].as_u64().unwrap_or_default(),
        hears,
    }
}

/// Where the views contradict each other, a line each.
pub fn disagreements(views: &Views) -> Vec<String> {
    let mut found = Vec::new();
    let answered: Vec<(&String, &NodeView)> =
        views.iter().filter_map(|(host, view)| Some((host, view.as_ref()?))).collect();
    let mut leaders: BTreeMap<Option<&str>, Vec<&str>> = BTreeMap::new();
    for (host, view) in &answered {
        leaders.entry(view.leader.as_deref()).or_default().push(host);
    }
    if leaders.len() > 1 {
        for (leader, hosts) in leaders {
            found.push(format!("{} say that {} leads", hosts.join(", "), leader.unwrap_or("nobody")));
        }
    }
    for (host, view) in &answered {
        for (peer, hears) in &view.hears {
            let other = views.get(peer).and_then(Option::as_ref);
            let back = other.and_then(|other| other.hears.get(*host)).copied();
            match (hears, back) {
                (false, Some(true)) => found.push(format!("{host} does not hear {peer}, which hears {host}")),
                (true, None) if other.is_none() => {
                    found.push(format!("{host} hears {peer}, which did not answer"));
                }
                _ => {}
            }
        }
    }
    found
}

/// The views as people read them.
pub fn table(views: &Views) -> String {
    let mut text = String::new();
    _ = writeln!(
        text,
        "{:<16} {:<14} {:>8} {:<16} {:>7}  links down",
        "node", "mode", "since", "leader", "heard"
    );
    for (host, view) in views {
        let Some(view) = view else {
            _ = writeln!(text, "{host:<16} does not answer");
            continue;
        };
        let down = if view.down.is_empty() { "none".into() } else { view.down.join(", ") };
        let leader = view.leader.as_deref().unwrap_or("nobody");
        _ = writeln!(
            text,
            "{host:<16} {:<14} {:>6.0} s {leader:<16} {:>7}  {down}",
            view.mode, view.since_s, view.heard
        );
    }
    let found = disagreements(views);
    if found.is_empty() {
        text.push_str("the views agree\n");
    }
    for line in found {
        _ = writeln!(text, "disagreement: {line}");
    }
    text
}
