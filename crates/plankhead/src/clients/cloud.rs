//! Calls to the cloud.

use crate::http::Client;
use crate::wire::cloud::{
    encode_release, encode_rental, is_no_capacity, parse_instances, parse_machine_types, parse_rented,
};
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, CloudReply, CloudRequest};
use plankhead_fencing::action::CloudAction;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest number of machines in one page of the inventory, as limited by the published protocol.
const MAX_PAGE: usize = 500;

/// Calls the cloud. After an error other than `Refused`, the request may still be carried out later.
pub async fn call(client: &Client, request: CloudRequest) -> Result<CloudReply, CallError> {
    let (method, path, body) = match &request {
        CloudRequest::ListMachineTypes => (Method::GET, "/catalog".into(), Vec::new()),
        CloudRequest::ListInstances { after } => {
            let after = after.as_ref().map(|name| format!("after={name}&")).unwrap_or_default();
            (Method::GET, format!("/hosts?{after}most={MAX_PAGE}"), Vec::new())
        }
        CloudRequest::Execute(permitted) => match permitted.action() {
            CloudAction::Rent(rental) => (Method::POST, "/hosts".into(), encode_rental(rental)),
            CloudAction::Return(release) => (Method::POST, "/hosts/release".into(), encode_release(release)),
        },
    };
    let (status, body) = client.call(method, &path, body, CALL_TIMEOUT).await?;
    match (&request, status) {
        (CloudRequest::ListMachineTypes, StatusCode::OK) => {
            parse_machine_types(&body).map(CloudReply::MachineTypes).ok_or(CallError::OutcomeUnknown)
        }
        (CloudRequest::ListInstances { .. }, StatusCode::OK) => {
            let page = parse_instances(&body).ok_or(CallError::OutcomeUnknown)?;
            Ok(CloudReply::Instances { instances: page.instances, truncated: page.truncated })
        }
        (CloudRequest::Execute(permitted), status) => parse_outcome(permitted.action(), status, &body),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}

fn parse_outcome(action: &CloudAction, status: StatusCode, body: &[u8]) -> Result<CloudReply, CallError> {
    match (action, status) {
        (CloudAction::Rent(_), StatusCode::OK) => {
            parse_rented(body).map(CloudReply::Rented).ok_or(CallError::OutcomeUnknown)
        }
        (CloudAction::Rent(_), StatusCode::SERVICE_UNAVAILABLE) if is_no_capacity(body) => {
            Ok(CloudReply::NoCapacity)
        }
        (CloudAction::Return(_), StatusCode::OK) => Ok(CloudReply::Released),
        (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Err(CallError::Refused),
        _ => Err(CallError::OutcomeUnknown),
    }
}
