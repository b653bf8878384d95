//! Callers: feeds that are checked tick by tick, bookings and downloads.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

use crate::file_bytes;

/// Longest wait for the next line of a feed, or for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Who calls, and whom.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Source address, which tells members apart.
    pub source: IpAddr,
    /// Where the service is reached.
    pub target: SocketAddr,
    /// The service's name.
    pub service: String,
}

/// What a feed has shown so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedProgress {
    /// Ticks in their right order.
    pub ticks: u64,
    /// The upstream that sends them.
    pub upstream: u32,
}

/// What a caller was told of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingResult {
    /// Its own confirmation.
    Confirmed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Caller {
    /// Follows a feed until `on_tick`, called after each tick, returns false.
    ///
    /// # Errors
    ///
    /// Fails when the feed ends, skips or repeats a tick, falls silent, or changes its upstream.
    pub async fn follow_feed(&self, mut on_tick: impl FnMut(FeedProgress) -> bool) -> Result<()> {
        let stream = self.send("GET", "/feed").await?;
        let mut lines = BufReader::new(stream).lines();
        let mut expected = 0;
        let mut upstream = None;
        loop {
            let line = tokio::time::timeout(RESPONSE_TIMEOUT, lines.next_line()).await;
            let line = line.context("feed fell silent")??.context("feed ended")?;
            // The rest of the lines are the HTTP framing.
            let Some(tick) = line.strip_prefix("tick ") else {
                continue;
            };
            let fields: Vec<&str> = tick.split(' ').collect();
            let &[sequence, service, number] = fields.as_slice() else {
                bail!("malformed tick `{tick}`");
            };
            ensure!(
                sequence.parse() == Ok(expected),
                "tick {sequence} instead of {expected}"
            );
            ensure!(service == self.service, "tick of service {service}");
            let number: u32 = number.parse()?;
            ensure!(
                *upstream.get_or_insert(number) == number,
                "feed changed its upstream"
            );
            expected += 1;
            let progress = FeedProgress {
                ticks: expected,
                upstream: number,
            };
            if !on_tick(progress) {
                return Ok(());
            }
        }
    }

    /// Books once, without any repetition.
    ///
    /// # Errors
    ///
    /// Fails when the answer is cut short or belongs to another booking.
    pub async fn book(&self, id: &str) -> Result<BookingResult> {
        let stream = self.send("POST", &format!("/bookings/{id}")).await?;
        let (status, body) = read_response(stream).await?;
        let text = String::from_utf8(body)?;
        match status {
            200 => {
                let expected = format!("confirmed {id} {} ", self.service);
                ensure!(
                    text.starts_with(&expected),
                    "answer `{}` to {id}",
                    text.trim()
                );
                Ok(BookingResult::Confirmed)
            }
            503 => Ok(BookingResult::NotRun),
            502 | 504 => Ok(BookingResult::Unknown),
            _ => bail!("status {status}: {text}"),
        }
    }

    /// Downloads a file and compares every byte.
    ///
    /// # Errors
    ///
    /// Fails when the file is not whole.
    pub async fn download(&self, size: usize) -> Result<()> {
        let stream = self.send("GET", &format!("/files/{size}")).await?;
        let (status, body) = read_response(stream).await?;
        ensure!(status == 200, "status {status}");
        ensure!(body == file_bytes(&self.service, size), "file differs");
        Ok(())
    }

    async fn send(&self, method: &str, path: &str) -> Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.source, 0))?;
        let mut stream = socket.connect(self.target).await?;
        let head = request_head(method, path, &format!("meant-for: {}\r\n", self.service), 0);
        stream.write_all(head.as_bytes()).await?;
        Ok(stream)
    }
}

/// Fetches a page and returns status and body.
///
/// # Errors
///
/// Fails when no whole answer comes.
pub async fn http_get(address: SocketAddr, path: &str) -> Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).await?;
    let head = request_head("GET", path, "connection: close\r\n", 0);
    stream.write_all(head.as_bytes()).await?;
    read_response(stream).await
}

/// Puts `body` at `path`.
///
/// # Errors
///
/// Fails when the answer is not a success.
pub async fn http_put(address: SocketAddr, path: &str, body: &str) -> Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let head = request_head("PUT", path, "connection: close\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let (status, _) = read_response(stream).await?;
    ensure!((200..300).contains(&status), "status {status}");
    Ok(())
}

fn request_head(method: &str, path: &str, headers: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: stand-in\r\n{headers}content-length: {length}\r\n\r\n"
    )
}

/// Reads a whole answer that states its length.
async fn read_response(stream: TcpStream) -> Result<(u16, Vec<u8>)> {
    tokio::time::timeout(RESPONSE_TIMEOUT, read_status_and_body(stream))
        .await
        .context("no answer")?
}

async fn read_status_and_body(stream: TcpStream) -> Result<(u16, Vec<u8>)> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    let status = line
        .split(' ')
        .nth(1)
        .context("connection ended before the answer")?;
    let status = status.parse()?;
    let mut length = 0;
    loop {
        line.clear();
        ensure!(
            reader.read_line(&mut line).await? > 0,
            "answer cut short in its head"
        );
        let header = line.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse()?;
        }
    }
    let mut body = vec![0; length];
    reader
        .read_exact(&mut body)
        .await
        .context("answer cut short")?;
    Ok((status, body))
}
