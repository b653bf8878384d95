//! The command `status ADDRESS…`: shows the status that daemons report.

use std::net::SocketAddr;

use ntex::client::Client;
use ntex::time::Millis;
use plantainquay_schema::wire::status::Status;
use serde_json::json;

use crate::client::with_client;
use crate::load::{CommandError, parse_address};
use crate::{Outcome, Report};

const REQUEST_TIMEOUT: Millis = Millis(3_000);
const TABLE_HEADER: &str =
    "ADDRESS               ROLE      INSTANCE              GENERATION  FLOWS  STATE";

/// Requests the status of each daemon.
///
/// The outcome is [`Outcome::Failed`] if a daemon doesn't respond.
///
/// # Errors
///
/// Returns an error if an address is not `ip:port`.
pub fn status<'a>(addresses: impl Iterator<Item = &'a str>) -> Result<Report, CommandError> {
    let addresses = addresses.map(parse_address).collect::<Result<_, _>>()?;
    Ok(status_report(&fetch_all(addresses)))
}

/// Builds a report with a table of the responses; `None` stands for no response.
#[must_use]
pub fn status_report(responses: &[(SocketAddr, Option<Status>)]) -> Report {
    let rows = responses
        .iter()
        .map(|(address, status)| status_row(*address, status.as_ref()));
    let lines: Vec<String> = std::iter::once(TABLE_HEADER.to_owned())
        .chain(rows)
        .collect();
    let all_responded = responses.iter().all(|(_, status)| status.is_some());
    let daemons = responses
        .iter()
        .map(|(address, status)| json!({ "address": address.to_string(), "status": status }));
    Report {
        outcome: if all_responded {
            Outcome::Passed
        } else {
            Outcome::Failed
        },
        text: lines.join("\n"),
        json: json!({ "daemons": daemons.collect::<Vec<_>>() }),
    }
}

fn status_row(address: SocketAddr, status: Option<&Status>) -> String {
    let address = address.to_string();
    let Some(status) = status else {
        return format!("{address:<22}no response");
    };
    let state = if status.leaving { "leaving" } else { "live" };
    format!(
        "{address:<22}{:<10}{:<22}{:<12}{:<7}{state}",
        status.role, status.instance, status.generation, status.open_flows
    )
}

fn fetch_all(addresses: Vec<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
    with_client(async move |client| {
        let mut responses = Vec::with_capacity(addresses.len());
        for address in addresses {
            responses.push((address, fetch_status(&client, address).await));
        }
        responses
    })
}

async fn fetch_status(client: &Client, address: SocketAddr) -> Option<Status> {
    let request = client
        .get(format!("http://{address}/v1/status"))
        .timeout(REQUEST_TIMEOUT);
    let response = request.send().await.ok()?;
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
}
