//! Simulated callers that follow feeds, send bookings, download files and verify the responses.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

use crate::file_bytes;

/// Maximum wait for the next line of a feed, or for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller of one service.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Source address, which identifies the caller's member.
    pub source: IpAddr,
    /// Address of the service's listener.
    pub target: SocketAddr,
    /// The service's name.
    pub service: String,
}

/// Progress of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedProgress {
    /// Number of ticks received in order.
    pub ticks: u64,
    /// Number of the upstream that sends the ticks.
    pub upstream: u32,
}

/// Result of a booking as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingResult {
    /// The upstream confirmed the booking.
    Confirmed,
    /// The booking did not run.
    NotRun,
    /// The booking may have run.
    Unknown,
}

impl Caller {
    /// Follows a feed until `on_tick`, called after each tick, returns false.
    ///
    /// # Errors
    ///
    /// Fails when the feed ends, skips or repeats a tick, times out, or switches to another
    /// service or upstream.
    pub async fn follow_feed(&self, mut on_tick: impl FnMut(FeedProgress) -> bool) -> Result<()> {
        let stream = self.send("GET", "/feed").await?;
        let mut lines = BufReader::new(stream).lines();
        let mut expected = 0;
        let mut upstream = None;
        loop {
            let line = tokio::time::timeout(RESPONSE_TIMEOUT, lines.next_line()).await;
            let line = line.context("feed timed out")??.context("feed ended")?;
            // Other lines are the HTTP header and chunk framing.
            let Some(tick) = line.strip_prefix("tick ") else {
                continue;
            };
            let fields: Vec<&str> = tick.split(' ').collect();
            let &[sequence, service, number] = fields.as_slice() else {
                bail!("malformed tick `{tick}`");
            };
            ensure!(
                sequence.parse() == Ok(expected),
                "received tick {sequence}, expected {expected}"
            );
            ensure!(
                service == self.service,
                "unexpected tick from service {service}"
            );
            let number: u32 = number.parse()?;
            ensure!(
                *upstream.get_or_insert(number) == number,
                "feed switched to another upstream"
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

    /// Sends one booking without retrying it.
    ///
    /// # Errors
    ///
    /// Fails when the response is truncated, unexpected or belongs to another booking.
    pub async fn book(&self, id: &str) -> Result<BookingResult> {
        let stream = self.send("POST", &format!("/bookings/{id}")).await?;
        let (status, body) = read_response(stream).await?;
        let text = String::from_utf8(body)?;
        match status {
            200 => {
                let expected = format!("confirmed {id} {} ", self.service);
                ensure!(
                    text.starts_with(&expected),
                    "unexpected response `{}` to booking {id}",
                    text.trim()
                );
                Ok(BookingResult::Confirmed)
            }
            503 => Ok(BookingResult::NotRun),
            502 | 504 => Ok(BookingResult::Unknown),
            _ => bail!("unexpected status {status}: {text}"),
        }
    }

    /// Downloads a file and compares its content with the expected bytes.
    ///
    /// # Errors
    ///
    /// Fails when the file is truncated or its content differs.
    pub async fn download(&self, size: usize) -> Result<()> {
        let stream = self.send("GET", &format!("/files/{size}")).await?;
        let (status, body) = read_response(stream).await?;
        ensure!(status == 200, "unexpected status {status}");
        ensure!(
            body == file_bytes(&self.service, size),
            "file content differs"
        );
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

/// Sends a GET request and returns the status and body of the response.
///
/// # Errors
///
/// Fails when no complete response arrives.
pub async fn http_get(address: SocketAddr, path: &str) -> Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).await?;
    let head = request_head("GET", path, "connection: close\r\n", 0);
    stream.write_all(head.as_bytes()).await?;
    read_response(stream).await
}

/// Sends `body` to `path` in a PUT request.
///
/// # Errors
///
/// Fails when the response status is not 2xx.
pub async fn http_put(address: SocketAddr, path: &str, body: &str) -> Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let head = request_head("PUT", path, "connection: close\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let (status, _) = read_response(stream).await?;
    ensure!((200..300).contains(&status), "unexpected status {status}");
    Ok(())
}

fn request_head(method: &str, path: &str, headers: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: stand-in\r\n{headers}content-length: {length}\r\n\r\n"
    )
}

/// Reads a complete response with a `content-length` header.
async fn read_response(stream: TcpStream) -> Result<(u16, Vec<u8>)> {
    tokio::time::timeout(RESPONSE_TIMEOUT, read_status_and_body(stream))
        .await
        .context("response timed out")?
}

async fn read_status_and_body(stream: TcpStream) -> Result<(u16, Vec<u8>)> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    let status = line
        .split(' ')
        .nth(1)
        .context("connection closed before the response")?;
    let status = status.parse()?;
    let mut length = 0;
    loop {
        line.clear();
        ensure!(
            reader.read_line(&mut line).await? > 0,
            "response header truncated"
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
        .context("response body truncated")?;
    Ok((status, body))
}
