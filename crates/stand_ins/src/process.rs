//! Child processes of a test runner.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};

/// A process that the runner started; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `args`, its log in `log`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start(name: &str, program: &Path, args: &[&str], log: &Path) -> Result<Self> {
        let log = std::fs::File::create(log).context("log file")?;
        let child = Command::new(program)
            .args(args)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// The process's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Asks the process to leave.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn terminate(&self) -> Result<()> {
        self.send_signal(Signal::TERM)
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn pause(&self) -> Result<()> {
        self.send_signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn resume(&self) -> Result<()> {
        self.send_signal(Signal::CONT)
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be ended.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has ended; false when it takes longer than `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<bool> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let mut elapsed = Duration::ZERO;
        while elapsed < timeout {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            std::thread::sleep(POLL_INTERVAL);
            elapsed += POLL_INTERVAL;
        }
        Ok(false)
    }

    fn send_signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).with_context(|| format!("signal to {}", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// An address of this machine's loopback that nothing uses for TCP or UDP.
///
/// Its port lies below those that the kernel gives to outgoing connections, so that none of them
/// takes it before its process starts.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> Result<SocketAddr> {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 22_000;
    // Each call goes on where the last one ended, so that no address is given out twice.
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(u32::MAX);
    let start = rand::random_range(0..PORT_COUNT);
    let _started =
        NEXT_OFFSET.compare_exchange(u32::MAX, start, Ordering::Relaxed, Ordering::Relaxed);
    for _ in 0..PORT_COUNT {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free {
            return Ok(address);
        }
    }
    anyhow::bail!("no free port")
}
