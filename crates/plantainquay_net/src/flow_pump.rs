//! Moves bytes between a TCP endpoint in the tunnel and a TCP stream of this machine.

use std::io;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

use crate::TcpEndpoint;
use crate::tcp_endpoint::Received;

const BUFFER_BYTES: usize = 16 << 10;

/// How a flow's pump reaches the endpoint.
///
/// `with` locks the endpoint, calls the closure and sends what the endpoint then has to send; it
/// returns none when the flow is gone.
#[derive(Debug)]
pub struct FlowEnd<W> {
    /// Access to the endpoint.
    pub with: W,
    /// Rung when bytes were received or the endpoint's state changed.
    pub readable: Arc<Notify>,
    /// Rung when room for bytes came about or the endpoint's state changed.
    pub writable: Arc<Notify>,
}

/// Moves bytes both ways until both ends have closed, or either fails.
///
/// # Errors
///
/// Fails when the stream does; the endpoint is then reset, so that neither side takes a part of
/// the bytes for the whole.
pub async fn pump<W>(end: &FlowEnd<W>, stream: TcpStream) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let result = both(to_stream(end, writer), to_endpoint(end, reader)).await;
    if result.is_err() {
        (end.with)(&mut |endpoint| endpoint.abort());
    }
    result
}

async fn both(
    a: impl Future<Output = io::Result<()>>,
    b: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    tokio::try_join!(a, b).map(|_| ())
}

async fn to_stream<W>(end: &FlowEnd<W>, mut writer: OwnedWriteHalf) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let mut received = Received::Reset;
        (end.with)(&mut |endpoint| received = endpoint.recv(&mut buf));
        match received {
            Received::Bytes(bytes) => writer.write_all(&buf[..bytes]).await?,
            Received::Nothing => end.readable.notified().await,
            Received::Finished => return writer.shutdown().await,
            Received::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

async fn to_endpoint<W>(end: &FlowEnd<W>, mut reader: OwnedReadHalf) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buf).await?;
        if read == 0 {
            (end.with)(&mut |endpoint| endpoint.close());
            return Ok(());
        }
        send_all(end, &buf[..read]).await?;
    }
}

async fn send_all<W>(end: &FlowEnd<W>, mut bytes: &[u8]) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    while !bytes.is_empty() {
        let mut sent = 0;
        let mut may_send = false;
        (end.with)(&mut |endpoint| {
            sent = endpoint.send(bytes);
            may_send = endpoint.may_send();
        });
        if !may_send {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        bytes = &bytes[sent..];
        if !bytes.is_empty() {
            end.writable.notified().await;
        }
    }
    Ok(())
}
