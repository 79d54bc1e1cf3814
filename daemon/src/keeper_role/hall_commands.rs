//! Requests of operators to empty or refill a hall, and their confirmation.

use hyper::{Response, Uri};
use keeper::{Confirmation, Reply};
use net::Body;
use thiserror::Error;
use wire::{HallCommand, InvalidHallName};

use super::driver::KeeperRequest;
use super::listen::{self, OperatorContext, redirect_response, reply_response, submit};

/// Prefix of the paths of hall commands, followed by the hall and the action.
pub(super) const PATH: &str = "/v1/halls/";
/// The query parameter with the log index that the sender of a command confirms.
const INDEX_PARAMETER: &str = "after";

/// Why a request is not a valid hall command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HallCommandError {
    /// The name of the hall is invalid.
    #[error("{0}")]
    Hall(#[from] InvalidHallName),
    /// The confirmation is not a number.
    #[error("{INDEX_PARAMETER} has to be an index of the log")]
    Index,
}

/// Handles a request to empty or refill a hall.
pub(super) async fn handle(context: &OperatorContext, uri: &Uri) -> Response<Body> {
    let no_such_path = |message| listen::error_response(404, "no-such-path", message);
    let Some((hall, action)) = uri.path().strip_prefix(PATH).and_then(|rest| rest.split_once('/'))
    else {
        return no_such_path("see the operators' pages");
    };
    let takes_work = match action {
        "empty" => false,
        "refill" => true,
        _ => return no_such_path("a hall is emptied or refilled"),
    };
    if !context.capacity_scheduling {
        let message = "halls are emptied by order only where nodes schedule by room";
        return listen::error_response(409, "not-supported", message);
    }
    let command = hall.parse().map(|hall| HallCommand { hall, takes_work });
    match request(command, uri) {
        Ok(request) => match submit(&context.input_sender, request).await {
            Some(Reply::ConfirmHall(confirmation)) => confirm_response(context, uri, confirmation),
            reply => reply_response(reply),
        },
        Err(error) => error_response(error),
    }
}

/// The request for a command with the confirmation in its URI, if there is one.
pub(super) fn request(
    command: Result<HallCommand, InvalidHallName>,
    uri: &Uri,
) -> Result<KeeperRequest, HallCommandError> {
    let mut parameters = uri.query().unwrap_or_default().split('&');
    let index = parameters.find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        (name == INDEX_PARAMETER).then_some(value)
    });
    let index = index.map(str::parse).transpose().map_err(|_| HallCommandError::Index)?;
    Ok(KeeperRequest::HallCommand(command?, index.map(Confirmation)))
}

pub(super) fn error_response(error: HallCommandError) -> Response<Body> {
    let code = match error {
        HallCommandError::Hall(_) => "bad-hall",
        HallCommandError::Index => "bad-confirmation",
    };
    listen::error_response(400, code, &error.to_string())
}

/// Redirects the sender of a command to this keeper with the confirmation. Only a sender that still
/// waits for the answer follows.
pub(super) fn confirm_response(
    context: &OperatorContext,
    uri: &Uri,
    Confirmation(index): Confirmation,
) -> Response<Body> {
    let path = format!("{}?{INDEX_PARAMETER}={index}", uri.path());
    let message = "the command may be a late copy; confirm it at the location";
    redirect_response(context.address, &path, "unconfirmed", message)
}
