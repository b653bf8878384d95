//! Parser for the text format of traces.

use std::collections::BTreeMap;
use std::str::FromStr;

use plantainquay_schema::{Name, UpstreamNumber};
use thiserror::Error;

use crate::{DocumentSpec, Event, ProcessId, ServiceSpec, TimedEvent, Trace};

/// Error for a line that is not a valid event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("line {line}: {reason}")]
pub struct ParseError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Reason why the line was rejected.
    pub reason: String,
}

type Fields<'a> = BTreeMap<&'a str, &'a str>;

impl FromStr for Trace {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut trace = Self::default();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let event = parse_line(line).map_err(|reason| ParseError {
                line: i + 1,
                reason,
            })?;
            trace.events.push(event);
        }
        Ok(trace)
    }
}

fn parse_line(line: &str) -> Result<TimedEvent, String> {
    let mut words = line.split_whitespace();
    let time = words.next().unwrap_or_default();
    let millis = time
        .parse()
        .map_err(|_e| format!("`{time}` is not a time in milliseconds"))?;
    let process = words.next().ok_or("missing process")?;
    let event = words.next().ok_or("missing event")?;
    let rest: Vec<&str> = words.collect();
    Ok(TimedEvent {
        millis,
        event: parse_event(process, event, &rest)?,
    })
}

fn parse_event(process: &str, event: &str, rest: &[&str]) -> Result<Event, String> {
    match (process, event) {
        ("platform", "publish") => parse_document(&fields(rest)?).map(Event::Publish),
        ("network", "cut") => match rest {
            [a, b] => Ok(Event::Cut(parse_process(a)?, parse_process(b)?)),
            _ => Err("`cut` takes two processes".to_owned()),
        },
        ("network", "heal") => Ok(Event::Heal),
        ("network", "lose-messages") => Ok(Event::LoseMessages(true)),
        ("network", "deliver-messages") => Ok(Event::LoseMessages(false)),
        ("caller", _) => parse_caller(event, &fields(rest)?, rest),
        ("all", "apply") => Ok(Event::Apply {
            process: None,
            key: required(&fields(rest)?, "key")?,
        }),
        _ => parse_process_event(parse_process(process)?, event, rest),
    }
}

fn parse_process_event(process: ProcessId, event: &str, rest: &[&str]) -> Result<Event, String> {
    match event {
        "apply" => Ok(Event::Apply {
            process: Some(process),
            key: required(&fields(rest)?, "key")?,
        }),
        "die" => Ok(Event::Die(process)),
        "start" => Ok(Event::Start(process)),
        "pause" => Ok(Event::Pause(process)),
        "resume" => Ok(Event::Resume(process)),
        "leave" => Ok(Event::Leave(process)),
        _ => Err(format!("unknown event `{event}`")),
    }
}

fn parse_caller(event: &str, fields: &Fields<'_>, rest: &[&str]) -> Result<Event, String> {
    let flow = required(fields, "flow")?;
    match event {
        "open" => Ok(Event::Open {
            flow,
            service: required(fields, "to")?,
            via: required(fields, "via")?,
            echoes: rest.contains(&"echo"),
        }),
        "send" => Ok(Event::Send {
            flow,
            via: required(fields, "via")?,
        }),
        "close" => Ok(Event::Close { flow }),
        _ => Err(format!("unknown event `{event}`")),
    }
}

/// Parses `key=… generation=… SERVICE=1,2 …`, where `-2` stands for a draining upstream.
fn parse_document(fields: &Fields<'_>) -> Result<DocumentSpec, String> {
    let generation = required(fields, "generation")?;
    let mut spec = DocumentSpec {
        key: required(fields, "key")?,
        generation: generation
            .as_str()
            .parse()
            .map_err(|_e| "generation is not a number")?,
        services: Vec::new(),
    };
    for (name, upstreams) in fields {
        if !["key", "generation"].contains(name) {
            spec.services.push(parse_service(name, upstreams)?);
        }
    }
    Ok(spec)
}

fn parse_service(name: &str, upstreams: &str) -> Result<ServiceSpec, String> {
    let mut service = ServiceSpec {
        name: name.into(),
        serving: Vec::new(),
        draining: Vec::new(),
    };
    for upstream in upstreams.split(',') {
        match upstream.strip_prefix('-') {
            Some(draining) => service.draining.push(parse_number(draining)?),
            None => service.serving.push(parse_number(upstream)?),
        }
    }
    Ok(service)
}

fn parse_process(text: &str) -> Result<ProcessId, String> {
    match text.split_once('/') {
        Some((service, number)) => Ok(ProcessId::Agent(service.into(), parse_number(number)?)),
        None => Ok(ProcessId::Balancer(text.into())),
    }
}

fn parse_number(text: &str) -> Result<UpstreamNumber, String> {
    let number = text.parse().ok().and_then(UpstreamNumber::new);
    number.ok_or_else(|| format!("`{text}` is not an upstream number"))
}

fn fields<'a>(words: &[&'a str]) -> Result<Fields<'a>, String> {
    let mut fields = Fields::new();
    for word in words {
        if let Some((key, value)) = word.split_once('=') {
            fields.insert(key, value);
        } else if *word != "echo" {
            return Err(format!("`{word}` is not key=value"));
        }
    }
    Ok(fields)
}

fn required(fields: &Fields<'_>, key: &str) -> Result<Name, String> {
    let value = fields
        .get(key)
        .ok_or_else(|| format!("missing field `{key}`"))?;
    Ok(Name::from(*value))
}
