//! `plankhead reachability`: prints the controllers' views of the links between them, and where these views
//! disagree.

use super::node_views;
use crate::settings::NodeSettings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The age of a peer's last heartbeat, in seconds, below which a node without reachability checks counts as
/// receiving heartbeats from the peer.
const PEER_HEARTBEAT_TIMEOUT_S: f64 = 4.0;

/// One controller's view of its own links and of the other controllers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeView {
    /// The reachability mode, or `not judged` while reachability checks are off.
    pub mode: String,
    /// The time since the controller entered this mode, in seconds.
    pub since_s: f64,
    /// The node that the controller considers the leader.
    pub leader: Option<String>,
    /// The controller's links that are down.
    pub down_links: Vec<String>,
    /// The number of workers whose heartbeats reach the controller.
    pub workers: u64,
    /// Whether the heartbeats of each peer reach the controller.
    pub receives_from: BTreeMap<String, bool>,
}

/// The views by node name, with `None` for a node that did not answer.
pub type NodeViews = BTreeMap<String, Option<NodeView>>;

/// Fetches the views of all controllers in the settings.
pub async fn fetch(settings: &NodeSettings) -> NodeViews {
    let views = node_views::fetch_all(settings).await.into_iter();
    views.map(|(node, view)| (node, view.as_ref().map(parse_view))).collect()
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Parses a controller's view. Without reachability checks, the mode and the links are missing from it.
pub fn parse_view(view: &Value) -> NodeView {
    let reachability = &view["reachability"];
    let links = reachability["links"].as_array().cloned().unwrap_or_default();
    let is_leader = !view["leader"].is_null();
    // The previous version calls the leader `foreman`.
    let leader_host = view.get("leaderHost").unwrap_or(&view["foreman"]);
    NodeView {
        mode: text(&reachability["mode"]).unwrap_or_else(|| "not judged".into()),
        since_s: reachability["sinceS"].as_f64().unwrap_or_default(),
        leader: if is_leader { text(&view["host"]) } else { text(leader_host) },
        down_links: links.iter().filter(|link| link["condition"] == "down").map(link_name).collect(),
        workers: reachability["heard"].as_u64().unwrap_or_default(),
        receives_from: if reachability.is_null() {
            receives_by_heartbeat_age(view)
        } else {
            receives_by_link_condition(&links)
        },
    }
}

fn link_name(link: &Value) -> String {
    let kind = link["link"].as_str().unwrap_or_default();
    match link["peer"].as_str() {
        Some(peer) => format!("{kind} {peer}"),
        None => kind.to_owned(),
    }
}

/// Returns whether a node receives heartbeats from each peer, judged by the condition of its links.
fn receives_by_link_condition(links: &[Value]) -> BTreeMap<String, bool> {
    let heartbeat_links = links.iter().filter(|link| link["link"] == "peerIn");
    heartbeat_links.filter_map(|link| Some((text(&link["peer"])?, link["condition"] != "down"))).collect()
}

/// Returns whether a node receives heartbeats from each peer, judged by the age of the last ones.
fn receives_by_heartbeat_age(view: &Value) -> BTreeMap<String, bool> {
    // The previous version calls the peers `siblings`.
    let peers = view.get("peers").unwrap_or(&view["siblings"]).as_array().into_iter().flatten();
    peers
        .filter_map(|peer| Some((text(&peer["host"])?, peer["heardS"].as_f64()? < PEER_HEARTBEAT_TIMEOUT_S)))
        .collect()
}

/// Returns one line for each contradiction between the views.
pub fn disagreements(views: &NodeViews) -> Vec<String> {
    let answered: Vec<(&String, &NodeView)> =
        views.iter().filter_map(|(node, view)| Some((node, view.as_ref()?))).collect();
    let mut lines = leader_disagreements(&answered);
    for (node, view) in &answered {
        for (peer, receives) in &view.receives_from {
            lines.extend(link_disagreement(views, node, peer, *receives));
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
        .map(|(leader, hosts)| {
            format!("{} leads according to {}", leader.unwrap_or("nobody"), hosts.join(", "))
        })
        .collect()
}

fn link_disagreement(views: &NodeViews, node: &str, peer: &str, receives: bool) -> Option<String> {
    let peer_view = views.get(peer).and_then(Option::as_ref);
    let peer_receives = peer_view.and_then(|view| view.receives_from.get(node)).copied();
    match (receives, peer_receives) {
        (false, Some(true)) => Some(format!("{node} does not hear {peer}, which hears {node}")),
        (true, None) if peer_view.is_none() => Some(format!("{node} hears {peer}, which did not answer")),
        _ => None,
    }
}

/// Formats the views as a table, followed by their disagreements.
pub fn format_table(views: &NodeViews) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
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
