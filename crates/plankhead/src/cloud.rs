//! The cloud's client.

use crate::http::Client;
use crate::wire;
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, CloudReply, CloudRequest};
use plankhead_fencing::action::CloudAction;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);
/// Machines in one page of the list, by the protocol.
const PAGE: usize = 500;

pub async fn call(client: &Client, op: CloudRequest) -> Result<CloudReply, CallError> {
    let (method, path, body) = match &op {
        CloudRequest::ListMachineTypes => (Method::GET, "/catalog".into(), Vec::new()),
        CloudRequest::ListInstances { after } => {
            let after = after.as_ref().map(|a| format!("after={a}&")).unwrap_or_default();
            (Method::GET, format!("/hosts?{after}most={PAGE}"), Vec::new())
        }
        CloudRequest::Execute(permitted) => match permitted.action() {
            CloudAction::Rent(rental) => {
                let body = wire::rental(rental).to_string().into_bytes();
                (Method::POST, "/hosts".into(), body)
            }
            CloudAction::Return(back) => {
                let hosts: Vec<&str> = back.machines.iter().map(|h| h.as_ref()).collect();
                let body = serde_json::json!({ "hosts": hosts }).to_string().into_bytes();
                (Method::POST, "/hosts/release".into(), body)
            }
        },
    };
    let (status, body) = client.call(method, &path, body, PATIENCE).await?;
    match (&op, status) {
        (CloudRequest::ListMachineTypes, StatusCode::OK) => {
            wire::catalog(&body).map(CloudReply::MachineTypes).ok_or(CallError::OutcomeUnknown)
        }
        (CloudRequest::ListInstances { .. }, StatusCode::OK) => {
            let (hosts, truncated) = wire::hosts(&body).ok_or(CallError::OutcomeUnknown)?;
            Ok(CloudReply::Instances { instances: hosts, truncated })
        }
        (CloudRequest::Execute(permitted), status) => acted(permitted.action(), status, &body),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}

/// What came of an action.
fn acted(action: &CloudAction, status: StatusCode, body: &[u8]) -> Result<CloudReply, CallError> {
    match (action, status) {
        (CloudAction::Rent(_), StatusCode::OK) => {
            let names = wire::hired(body).ok_or(CallError::OutcomeUnknown)?;
            Ok(CloudReply::Rented(names.into_iter().map(Into::into).collect()))
        }
        (CloudAction::Rent(_), StatusCode::SERVICE_UNAVAILABLE) if refused(body) => {
            Ok(CloudReply::NoCapacity)
        }
        (CloudAction::Return(_), StatusCode::OK) => Ok(CloudReply::Released),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}

fn refused(body: &[u8]) -> bool {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value.get("error").and_then(|e| e.as_str()) == Some("no capacity")
}
