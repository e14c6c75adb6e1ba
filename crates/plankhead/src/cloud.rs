//! The cloud's client.

use crate::http::Client;
use crate::wire::cloud as wire;
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, CloudReply, CloudRequest};
use plankhead_fencing::action::Action;
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
            Action::Rent(rental) => {
                let body = wire::encode_rental(rental);
                (Method::POST, "/hosts".into(), body)
            }
            Action::Return(back) => (Method::POST, "/hosts/release".into(), wire::encode_release(back)),
        },
    };
    let (status, body) = client.call(method, &path, body, PATIENCE).await?;
    match (&op, status) {
        (CloudRequest::ListMachineTypes, StatusCode::OK) => {
            wire::parse_machine_types(&body).map(CloudReply::MachineTypes).ok_or(CallError::OutcomeUnknown)
        }
        (CloudRequest::ListInstances { .. }, StatusCode::OK) => {
            let page = wire::parse_instances(&body).ok_or(CallError::OutcomeUnknown)?;
            Ok(CloudReply::Instances { instances: page.instances, truncated: page.truncated })
        }
        (CloudRequest::Execute(permitted), status) => acted(permitted.action(), status, &body),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}

/// What came of an action.
fn acted(action: &Action, status: StatusCode, body: &[u8]) -> Result<CloudReply, CallError> {
    match (action, status) {
        (Action::Rent(_), StatusCode::OK) => {
            wire::parse_rented(body).map(CloudReply::Rented).ok_or(CallError::OutcomeUnknown)
        }
        (Action::Rent(_), StatusCode::SERVICE_UNAVAILABLE) if wire::is_no_capacity(body) => {
            Ok(CloudReply::NoCapacity)
        }
        (Action::Return(_), StatusCode::OK) => Ok(CloudReply::Released),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}
