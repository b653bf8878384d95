//! `status ADDRESS…`: what do the daemons say of themselves?

use std::net::SocketAddr;

use ntex::client::Client;
use ntex::time::Millis;
use plantainquay_schema::wire::status::Status;
use serde_json::json;

use crate::client::with_client;
use crate::load::{CommandError, address};
use crate::{Outcome, Report};

const TIMEOUT: Millis = Millis(3_000);
const HEADER: &str =
    "ADDRESS               ROLE      INSTANCE              GENERATION  FLOWS  STATE";

/// Asks each daemon; the answer is no when one of them doesn't answer.
///
/// # Errors
///
/// Fails when an address is not `ip:port`.
pub fn status<'a>(addresses: impl Iterator<Item = &'a str>) -> Result<Report, CommandError> {
    let addresses = addresses.map(address).collect::<Result<_, _>>()?;
    Ok(table(&ask_all(addresses)))
}

/// The answers as a table.
#[must_use]
pub fn table(answers: &[(SocketAddr, Option<Status>)]) -> Report {
    let rows = answers
        .iter()
        .map(|(address, status)| row(*address, status.as_ref()));
    let lines: Vec<String> = std::iter::once(HEADER.to_owned()).chain(rows).collect();
    let all = answers.iter().all(|(_, status)| status.is_some());
    let daemons = answers
        .iter()
        .map(|(address, status)| json!({ "address": address.to_string(), "status": status }));
    Report {
        outcome: if all {
            Outcome::Passed
        } else {
            Outcome::Failed
        },
        text: lines.join("\n"),
        json: json!({ "daemons": daemons.collect::<Vec<_>>() }),
    }
}

fn row(address: SocketAddr, status: Option<&Status>) -> String {
    let address = address.to_string();
    let Some(status) = status else {
        return format!("{address:<22}no answer");
    };
    let state = if status.leaving { "leaving" } else { "live" };
    format!(
        "{address:<22}{:<10}{:<22}{:<12}{:<7}{state}",
        status.role, status.instance, status.generation, status.open_flows
    )
}

fn ask_all(addresses: Vec<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
    with_client(async move |client| {
        let mut answers = Vec::with_capacity(addresses.len());
        for address in addresses {
            answers.push((address, ask(&client, address).await));
        }
        answers
    })
}

async fn ask(client: &Client, address: SocketAddr) -> Option<Status> {
    let request = client
        .get(format!("http://{address}/v1/status"))
        .timeout(TIMEOUT);
    let response = request.send().await.ok()?;
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
}
