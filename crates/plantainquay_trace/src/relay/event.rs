//! Events of a relay trace as text.

use std::str::FromStr;

use thiserror::Error;

/// One event of a relay trace.
///
/// Processes are named `b1`, `b2`, … for balancers and `a1`, `a2`, … for agents; upstreams have the
/// numbers of their agents, flows are `f1`, `f2`, ….
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEvent {
    /// A caller opens a flow through a balancer.
    Open(u16, String),
    /// A caller repeats the opening of a flow through a balancer.
    Repeat(u16, String),
    /// A caller sends data of an open flow through a balancer.
    Send(u16, String),
    /// A process dies and starts with empty memory.
    Restart(String),
    /// A process dies and stays dead.
    Kill(String),
    /// A process stands still.
    Pause(String),
    /// A paused process goes on.
    Resume(String),
    /// An upstream loses its flows and goes on.
    Crash(u16),
    /// An upstream ends and loses its flows.
    Down(u16),
    /// An upstream takes no new flow.
    Refuse(u16),
    /// The store lists an upstream as draining.
    Drain(u16),
    /// The store no longer lists an upstream.
    Depart(u16),
    /// The store lists an upstream that it didn't list.
    Join(u16),
    /// One of so many messages is lost from now on; zero for none.
    Lose(u64),
}

/// A line that is no event.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {reason}")]
pub struct RelayParseError {
    /// Number of the line.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads a trace: one event a line, after its time in milliseconds; `#` begins a comment.
///
/// # Errors
///
/// Fails at the first line that is no event.
pub fn parse_relay_trace(text: &str) -> Result<Vec<(u64, RelayEvent)>, RelayParseError> {
    let mut events = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let event = parse_line(line).map_err(|reason| RelayParseError {
            line: i + 1,
            reason,
        });
        events.push(event?);
    }
    Ok(events)
}

fn parse_line(line: &str) -> Result<(u64, RelayEvent), String> {
    let mut words = line.split_whitespace();
    let time = number(words.next(), "")?;
    let verb = words.next().unwrap_or_default();
    let first = words.next();
    let second = words.next();
    let process = |word: Option<&str>| {
        let word = word.filter(|word| word.starts_with(['a', 'b']));
        word.map(str::to_owned).ok_or("no process".to_owned())
    };
    let event = match verb {
        "open" => RelayEvent::Open(number(first, "f")?, process(second)?),
        "repeat" => RelayEvent::Repeat(number(first, "f")?, process(second)?),
        "send" => RelayEvent::Send(number(first, "f")?, process(second)?),
        "restart" => RelayEvent::Restart(process(first)?),
        "kill" => RelayEvent::Kill(process(first)?),
        "pause" => RelayEvent::Pause(process(first)?),
        "resume" => RelayEvent::Resume(process(first)?),
        "crash" => RelayEvent::Crash(number(first, "u")?),
        "down" => RelayEvent::Down(number(first, "u")?),
        "refuse" => RelayEvent::Refuse(number(first, "u")?),
        "drain" => RelayEvent::Drain(number(first, "u")?),
        "depart" => RelayEvent::Depart(number(first, "u")?),
        "join" => RelayEvent::Join(number(first, "u")?),
        "lose" => RelayEvent::Lose(number(first, "")?),
        _ => return Err(format!("`{verb}` is no event")),
    };
    Ok((time, event))
}

fn number<T: FromStr>(word: Option<&str>, prefix: &str) -> Result<T, String> {
    let word = word.unwrap_or_default();
    let digits = word.strip_prefix(prefix).unwrap_or_default();
    digits
        .parse()
        .map_err(|_e| format!("`{word}` is not `{prefix}` and a number"))
}
