//! Processes of the project under test, started with the commands of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Program of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/siskinbend";
/// One process. It is killed when this value is dropped, or when the test ends in any way.
pub struct Process {
    child: Child,
}

impl Process {
    /// Writes the settings file and starts the process.
    pub fn start(folder: &Path, name: &str, role: &str, settings: &str) -> io::Result<Process> {
        let file = folder.join(format!("{name}.conf"));
        fs::write(&file, settings)?;
        let child = spawn(role, &file, &folder.join(format!("{name}.log")))?;
        Ok(Process { child })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        let pid = libc::pid_t::try_from(self.child.id()).unwrap_or(0);
        if pid > 0 {
            // SAFETY: `kill` accesses no memory, and the child has not been waited for.
            unsafe { libc::kill(pid, signal) };
        }
    }

    /// Waits until the process has ended, at most for `limit`. Returns whether it has.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::create(log)?;
    let mut command = Command::new(PROGRAM);
    command
        .arg(role)
        .env("SISKINBEND_CONFIG", settings)
        .stdout(log.try_clone()?)
        .stderr(log);
    let end_with_parent = || {
        // SAFETY: `prctl` with these arguments accesses no memory.
        unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
        Ok(())
    };
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn()
}

/// Addresses of one machine each, on a loopback subnet that depends on the process of the test.
pub struct Machines {
    subnet: (u8, u8),
    /// Ports for traffic between the system's own processes, and for metrics; free on all machines.
    pub ports: (u16, u16),
}

impl Machines {
    /// Finds a subnet and two ports that are free on `count` machines.
    pub fn find(count: u8) -> io::Result<Machines> {
        let id = std::process::id();
        let subnet = (60 + (id % 120) as u8, (id / 120 % 250) as u8);
        for _ in 0..50 {
            let machines = Machines {
                subnet,
                ports: (
                    free_port(Ipv4Addr::LOCALHOST)?,
                    free_port(Ipv4Addr::LOCALHOST)?,
                ),
            };
            let ports = [machines.ports.0, machines.ports.1];
            let is_free = |n: u8| {
                let ip = machines.ip(n);
                ports
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            };
            if ports[0] != ports[1] && (0..count).all(is_free) {
                return Ok(machines);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Address of a machine.
    pub fn ip(&self, machine: u8) -> IpAddr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 1 + machine).into()
    }

    /// Address on a machine with a free port.
    pub fn address(&self, machine: u8) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip(machine), 0))?;
        listener.local_addr()
    }

    /// Settings that all roles have. The bounds are those of the site.
    pub fn settings(&self, machine: u8, node: &str, class: &str, store: SocketAddr) -> String {
        let ip = self.ip(machine);
        let (first, last) = self.ports;
        format!(
            "node={node}\nmachineClass={class}\nserves={class}\nip={ip}\nzone=ibadan\n\
             region=sw-ng\nzones.ibadan=sw-ng\nportRange={first},{last}\nbootstrap=true\n\
             limits.cpuShare=0.19\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4200\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\n\
             bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.lossSlackMs=200\nbounds.configMs=2000\nbounds.rollbackSlackMs=250\n\
             bounds.outerMs=5000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\n\
             bounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=88\n\
             bounds.recoverS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n\
             bounds.stall_ms=1500\nbounds.requireFence=false\nplatform.address={store}\n\
             platform.form=table\nplatform.historyS=20\n"
        )
    }
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    let listener = TcpListener::bind((ip, 0))?;
    Ok(listener.local_addr()?.port())
}
