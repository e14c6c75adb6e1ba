//! Encodes the responses of the core as HTTP replies.

use super::to_json;
use super::users::{status_name, JobResponse};
use super::workers::CommandsResponse;
use crate::http::Reply;
use plankhead_core::protocol::Response;
use plankhead_core::shards::messages::Delivery;
use serde::Serialize;

#[derive(Debug, Serialize)]
struct ErrorResponse<'a> {
    error: &'a str,
}

#[derive(Debug, Serialize)]
struct RedirectResponse<'a> {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    leader: Option<&'a str>,
}

/// Encodes a response as a reply with a status, a body and, if needed, the time after which to try again.
pub fn encode_response(response: &Response) -> Reply {
    match response {
        Response::Job { created, id, status, done, running } => {
            let job =
                JobResponse { id: id.as_str(), status: status_name(*status), done: *done, running: *running };
            json(if *created { 201 } else { 200 }, &job)
        }
        Response::BadRequest(reason) => error(400, &reason.to_string()),
        Response::Unprocessable(reason) => error(422, &reason.to_string()),
        Response::NotFound => error(404, "no such job"),
        Response::Unavailable { retry_after } => {
            Reply { retry_after: Some(*retry_after), ..error(503, "try again later") }
        }
        Response::Commands { token, commands } => json(200, &CommandsResponse::new(*token, commands)),
        Response::Redirect { host } => json(421, &RedirectResponse { leader: host.as_deref() }),
        Response::Relay { .. } => json(421, &RedirectResponse { leader: None }),
        Response::View(view) => json(200, view),
        Response::ShardMessageDelivery(delivery) => encode_delivery(*delivery),
    }
}

fn encode_delivery(delivery: Delivery) -> Reply {
    match delivery {
        Delivery::Accepted => Reply { status: 200, body: Vec::new(), retry_after: None },
        Delivery::FullSyncNeeded => error(410, "the stream is not known"),
        Delivery::Unsupported => error(404, "machines are not divided"),
        Delivery::Rejected | Delivery::NoResponse => error(409, "not taken"),
    }
}

fn json(status: u16, message: &impl Serialize) -> Reply {
    Reply { status, body: to_json(message), retry_after: None }
}

fn error(status: u16, reason: &str) -> Reply {
    json(status, &ErrorResponse { error: reason })
}
