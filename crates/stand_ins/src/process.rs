//! Child processes of a test or example.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `args` and redirects its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start(name: &str, program: &Path, args: &[&str], log: &Path) -> Result<Self> {
        let log = std::fs::File::create(log).context("creating the log file")?;
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

    /// Name of the process in logs and errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Requests a graceful shutdown with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.send_signal(Signal::TERM)
    }

    /// Pauses the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn pause(&self) -> Result<()> {
        self.send_signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn resume(&self) -> Result<()> {
        self.send_signal(Signal::CONT)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has exited; returns false after `timeout`.
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
        kill_process(pid, signal).with_context(|| format!("sending a signal to {}", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Returns a loopback address whose port is unused by both TCP and UDP.
///
/// The port is below the kernel's ephemeral port range, so that no outgoing connection takes it
/// before the process binds it.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> Result<SocketAddr> {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 22_000;
    // Each call continues after the last port, so that no address is returned twice.
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
