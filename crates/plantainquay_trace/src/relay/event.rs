//! Events of a relay trace and their text format.

use std::str::FromStr;

use thiserror::Error;

/// An event of a relay trace.
///
/// Balancers are named `b1`, `b2`, …, agents `a1`, `a2`, …, upstreams `u1`, `u2`, … after their
/// agents, and flows `f1`, `f2`, ….
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEvent {
    /// A caller opens a flow through a balancer.
    Open(u16, String),
    /// A caller retransmits the opening packet of a flow through a balancer.
    Repeat(u16, String),
    /// A caller sends data of an open flow through a balancer.
    Send(u16, String),
    /// A process restarts and loses its state.
    Restart(String),
    /// A process terminates and stays down.
    Kill(String),
    /// A process is paused.
    Pause(String),
    /// A paused process resumes.
    Resume(String),
    /// An upstream restarts at once and loses its flows.
    Crash(u16),
    /// An upstream goes down and loses its flows.
    Down(u16),
    /// An upstream refuses new flows.
    Refuse(u16),
    /// The store lists an upstream as draining.
    Drain(u16),
    /// The store no longer lists an upstream.
    Depart(u16),
    /// The store lists an upstream as serving.
    Join(u16),
    /// The network randomly loses one in this many packets and messages; zero turns loss off.
    Lose(u64),
    /// The store names these services, with their weights, for the route; none removes the route.
    Route(Vec<(String, u32)>),
    /// The store is restored from a copy that is this many milliseconds old.
    Restore(u64),
    /// Operators and upstreams write again what they wrote last.
    WriteAgain,
    /// A process no longer receives changes.
    Cut(String),
    /// A process that was cut off receives the changes that it missed.
    Mend(String),
}

/// Error for a line that is not a valid event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("line {line}: {reason}")]
pub struct RelayParseError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Reason why the line was rejected.
    pub reason: String,
}

/// Parses a trace with one event per line, each after its time in milliseconds; `#` starts a
/// comment.
///
/// # Errors
///
/// Returns an error for the first line that is not a valid event.
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
    if verb == "route" {
        let services = words.map(weighted_service).collect::<Result<_, _>>()?;
        return Ok((time, RelayEvent::Route(services)));
    }
    let first = words.next();
    let second = words.next();
    let process = |word: Option<&str>| {
        let word = word.filter(|word| word.starts_with(['a', 'b']));
        word.map(str::to_owned)
            .ok_or("expected the name of a balancer or agent".to_owned())
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
        "restore" => RelayEvent::Restore(number(first, "")?),
        "write-again" => RelayEvent::WriteAgain,
        "cut" => RelayEvent::Cut(process(first)?),
        "mend" => RelayEvent::Mend(process(first)?),
        _ => return Err(format!("unknown event `{verb}`")),
    };
    Ok((time, event))
}

/// Parses a service with its weight, such as `feed=2`.
fn weighted_service(word: &str) -> Result<(String, u32), String> {
    let (name, weight) = word
        .split_once('=')
        .ok_or_else(|| format!("`{word}` is not a service with a weight"))?;
    Ok((name.to_owned(), number(Some(weight), "")?))
}

fn number<T: FromStr>(word: Option<&str>, prefix: &str) -> Result<T, String> {
    let word = word.unwrap_or_default();
    let digits = word.strip_prefix(prefix).unwrap_or_default();
    digits
        .parse()
        .map_err(|_e| format!("`{word}` is not `{prefix}` followed by a number"))
}
