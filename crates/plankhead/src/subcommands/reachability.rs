//! `plankhead reachability`: prints what the controllers hear of each other, and where they
//! disagree.

use super::node_views;
use crate::settings::NodeSettings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A node without reachability counts as hearing a peer whose last heartbeat is younger than
/// this, in seconds.
const PEER_HEARTBEAT_TIMEOUT_S: f64 = 4.0;

/// What one controller says of itself and of the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeView {
    /// The mode of reachability; `not judged` while it is off.
    pub mode: String,
    /// For how long it has been in this mode.
    pub since_s: f64,
    /// The node that it takes for the leader.
    pub leader: Option<String>,
    /// Links of its own that are down.
    pub down_links: Vec<String>,
    /// Workers that report to it.
    pub workers: u64,
    /// Whether each peer's heartbeats reach it.
    pub hears: BTreeMap<String, bool>,
}

/// The views by node; `None`: it did not answer.
pub type NodeViews = BTreeMap<String, Option<NodeView>>;

/// Asks all controllers that the settings name.
pub async fn fetch(settings: &NodeSettings) -> NodeViews {
    let views = node_views::fetch_all(settings).await.into_iter();
    views.map(|(node, view)| (node, view.as_ref().map(read))).collect()
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Reads a controller's view; one without reachability says less.
pub fn read(view: &Value) -> NodeView {
    let reachability = &view["reachability"];
    let links = reachability["links"].as_array().cloned().unwrap_or_default();
    let is_leader = !view["leader"].is_null();
    // Nodes of the version before name the leader `foreman`.
    let leader_host = view.get("leaderHost").unwrap_or(&view["foreman"]);
    NodeView {
        mode: text(&reachability["mode"]).unwrap_or_else(|| "not judged".into()),
        since_s: reachability["sinceS"].as_f64().unwrap_or_default(),
        leader: if is_leader { text(&view["host"]) } else { text(leader_host) },
        down_links: links.iter().filter(|link| link["condition"] == "down").map(link_name).collect(),
        workers: reachability["heard"].as_u64().unwrap_or_default(),
        hears: if reachability.is_null() { heard_by_age(view) } else { heard_by_link(&links) },
    }
}

fn link_name(link: &Value) -> String {
    let kind = link["link"].as_str().unwrap_or_default();
    match link["peer"].as_str() {
        Some(peer) => format!("{kind} {peer}"),
        None => kind.to_owned(),
    }
}

/// Which peers a node hears by the condition of its links.
fn heard_by_link(links: &[Value]) -> BTreeMap<String, bool> {
    let heartbeat_links = links.iter().filter(|link| link["link"] == "peerIn");
    heartbeat_links.filter_map(|link| Some((text(&link["peer"])?, link["condition"] != "down"))).collect()
}

/// Which peers a node hears by the age of their last heartbeats.
fn heard_by_age(view: &Value) -> BTreeMap<String, bool> {
    // Nodes of the version before name the peers `siblings`.
    let peers = view.get("peers").unwrap_or(&view["siblings"]).as_array().into_iter().flatten();
    peers
        .filter_map(|peer| Some((text(&peer["host"])?, peer["heardS"].as_f64()? < PEER_HEARTBEAT_TIMEOUT_S)))
        .collect()
}

/// Where the views contradict each other, a line each.
pub fn disagreements(views: &NodeViews) -> Vec<String> {
    let answered: Vec<(&String, &NodeView)> =
        views.iter().filter_map(|(node, view)| Some((node, view.as_ref()?))).collect();
    let mut lines = leader_disagreements(&answered);
    for (node, view) in &answered {
        for (peer, hears) in &view.hears {
            lines.extend(link_disagreement(views, node, peer, *hears));
        }
    }
    lines
}

fn leader_disagreements(answered: &[(&String, &NodeView)]) -> Vec<String> {
    let mut by_leader: BTreeMap<Option<&str>, Vec<&str>> = BTreeMap::new();
    for (node, view) in answered {
        by_leader.entry(view.leader.as_deref()).or_default().push(node);
    }
    if by_leader.len() <= 1 {
        return Vec::new();
    }
    by_leader
        .into_iter()
        .map(|(leader, hosts)| format!("{} say that {} leads", hosts.join(", "), leader.unwrap_or("nobody")))
        .collect()
}

fn link_disagreement(views: &NodeViews, node: &str, peer: &str, hears: bool) -> Option<String> {
    let peer_view = views.get(peer).and_then(Option::as_ref);
    let peer_hears = peer_view.and_then(|view| view.hears.get(node)).copied();
    match (hears, peer_hears) {
        (false, Some(true)) => Some(format!("{node} does not hear {peer}, which hears {node}")),
        (true, None) if peer_view.is_none() => Some(format!("{node} hears {peer}, which did not answer")),
        _ => None,
    }
}

/// The views as people read them.
pub fn table(views: &NodeViews) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    _ = writeln!(
        text,
        "{:<16} {:<14} {:>8} {:<16} {:>7}  links down",
        "node", "mode", "since", "leader", "workers"
    );
    for (node, view) in views {
        let Some(view) = view else {
            _ = writeln!(text, "{node:<16} does not answer");
            continue;
        };
        let down = if view.down_links.is_empty() { "none".into() } else { view.down_links.join(", ") };
        let leader = view.leader.as_deref().unwrap_or("nobody");
        _ = writeln!(
            text,
            "{node:<16} {:<14} {:>6.0} s {leader:<16} {:>7}  {down}",
            view.mode, view.since_s, view.workers
        );
    }
    let disagreements = disagreements(views);
    if disagreements.is_empty() {
        text.push_str("the views agree\n");
    }
    for line in disagreements {
        _ = writeln!(text, "disagreement: {line}");
    }
    text
}
