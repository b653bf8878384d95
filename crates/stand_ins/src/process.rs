//! Child processes of a test runner.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
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
    /// Starts this very program again with `args`, its log in `log`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start(name: &str, args: &[&str], log: &Path) -> Result<Self> {
        let log = std::fs::File::create(log).context("log file")?;
        let child = Command::new(std::env::current_exe()?)
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
        self.signal(Signal::TERM)
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
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

    /// Waits until the process has ended; false when it takes longer than `longest`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn wait_ended(&mut self, longest: Duration) -> Result<bool> {
        const CHECK: Duration = Duration::from_millis(20);
        let mut waited = Duration::ZERO;
        while waited < longest {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            std::thread::sleep(CHECK);
            waited += CHECK;
        }
        Ok(false)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
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
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> Result<SocketAddr> {
    const TRIES: usize = 100;
    for _ in 0..TRIES {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!("no free port")
}
