//! Copies bytes between a TCP endpoint in the tunnel and a local TCP stream.

use std::io;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

use crate::TcpEndpoint;
use crate::tcp_endpoint::Received;

const BUFFER_BYTES: usize = 16 << 10;

/// A pump's access to the endpoint of its flow.
///
/// `with_endpoint` locks the endpoint, calls the closure and sends the resulting packets; it
/// returns `None` when the flow no longer exists.
#[derive(Debug)]
pub struct EndpointHandle<W> {
    /// Access to the endpoint.
    pub with_endpoint: W,
    /// Notified when bytes were received or the endpoint's state changed.
    pub readable: Arc<Notify>,
    /// Notified when the send buffer has room or the endpoint's state changed.
    pub writable: Arc<Notify>,
}

/// Copies bytes in both directions until both ends have closed or either fails.
///
/// # Errors
///
/// Fails when the stream does; the endpoint is then reset, so that neither side mistakes a
/// truncated transfer for a complete one.
pub async fn pump<W>(handle: &EndpointHandle<W>, stream: TcpStream) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let result = join_both(to_stream(handle, writer), to_endpoint(handle, reader)).await;
    if result.is_err() {
        (handle.with_endpoint)(&mut |endpoint| endpoint.abort());
    }
    result
}

async fn join_both(
    a: impl Future<Output = io::Result<()>>,
    b: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    tokio::try_join!(a, b).map(|_| ())
}

async fn to_stream<W>(handle: &EndpointHandle<W>, mut writer: OwnedWriteHalf) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let mut received = Received::Reset;
        (handle.with_endpoint)(&mut |endpoint| received = endpoint.recv(&mut buf));
        match received {
            Received::Bytes(bytes) => writer.write_all(&buf[..bytes]).await?,
            Received::Nothing => handle.readable.notified().await,
            Received::Finished => return writer.shutdown().await,
            Received::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

async fn to_endpoint<W>(handle: &EndpointHandle<W>, mut reader: OwnedReadHalf) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buf).await?;
        if read == 0 {
            (handle.with_endpoint)(&mut |endpoint| endpoint.close());
            return Ok(());
        }
        send_all(handle, &buf[..read]).await?;
    }
}

async fn send_all<W>(handle: &EndpointHandle<W>, mut bytes: &[u8]) -> io::Result<()>
where
    W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
{
    while !bytes.is_empty() {
        let mut sent = 0;
        let mut may_send = false;
        (handle.with_endpoint)(&mut |endpoint| {
            sent = endpoint.send(bytes);
            may_send = endpoint.may_send();
        });
        if !may_send {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        bytes = &bytes[sent..];
        if !bytes.is_empty() {
            handle.writable.notified().await;
        }
    }
    Ok(())
}
