//! One entry, four agents and their backend servers on loopback.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_document::Document;

use super::Options;
use super::load;
use super::load::Sample;
use super::process::Process;
use super::process::Spent;
use super::process::find_program;

/// Longest wait for a state that must come.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a state.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest exchange with a status page.
const PAGE_LIMIT: Duration = Duration::from_secs(5);

/// Requests that warm up connections before a run is measured.
const WARM_REQUESTS: u64 = 2_000;

/// Time of a run of the load tool in seconds.
const RUN_SECONDS: u64 = 120;

/// Milliseconds between the tokens of the streams that stay open.
const SLOW_TOKEN_MS: u64 = 100;

/// Tokens of the streams that stay open; they last for 15 s.
const OPEN_TOKENS: u32 = 150;

/// Sequences that an engine runs at once.
const SLOTS: usize = 10_000;

/// Agents: two for the plain service, one for each engine.
const AGENTS: usize = 4;

/// Resident memory in MiB.
#[derive(Debug, Clone)]
pub(super) struct Memory {
    pub(super) entry_rest: u64,
    pub(super) entry_open: u64,
    pub(super) agent_rest: u64,
    pub(super) agent_open: u64,
}

/// All processes of the experiment.
#[derive(Debug)]
pub(super) struct Site {
    folder: PathBuf,
    token: String,
    prompt: String,
    entry: Process,
    agents: Vec<Process>,
    _standins: Vec<Process>,
    /// Addresses of the entry, the plain service and both engines.
    listen: String,
    plain: String,
    fast: String,
    slow: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(|&a| a.to_owned()).collect()
}

/// Document whose limits don't bound the load.
fn build_document(token: &str) -> String {
    let service = |name: &str, kind: &str, method: &str, path: &str| {
        format!(
            "[[services]]\nname = \"{name}\"\n{kind}\ndrain_ms = 60000\nqueue_limit = 100000\n\
             concurrency = 10000\n[[services.routes]]\nmethod = \"{method}\"\npath = \"{path}\"\n\
             idempotent = true\ntimeout_ms = 60000\nstall_ms = 30000\nbody_limit = \"64KiB\"\n"
        )
    };
    let model = "kind = \"model\"\nmodel = \"writer\"\nversion = \"r1\"";
    [
        "environment = \"overhead\"\n[[zones]]\nname = \"oyo\"\nregion = \"sw\"\n".to_owned(),
        format!(
            "[[organisations]]\nname = \"load\"\ntoken_digests = [\"{}\"]\nweight = 1\n\
             rate_limit = 1000000\n",
            Document::digest(token)
        ),
        service("desk", "kind = \"plain\"", "GET", "/ladders"),
        service("fast", model, "POST", "/drafts"),
        service("slow", model, "POST", "/drafts"),
    ]
    .concat()
}

fn run_standins(arguments: &[&str]) -> Result<String, String> {
    let output = Command::new(find_program("siskinbend-standins")?)
        .args(arguments)
        .output()
        .map_err(|e| format!("a stand-in can't be started: {e}"))?;
    if output.status.success() {
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    } else {
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

fn start_engine(token_ms: u64) -> Result<(Process, String), String> {
    let mut arguments = to_strings(&["engine", "--listen", "127.0.0.1:0", "--name", "engine"]);
    arguments.extend(["--slots".to_owned(), SLOTS.to_string()]);
    arguments.extend(["--token-ms".to_owned(), token_ms.to_string()]);
    Process::start_standin(&arguments)
}

/// Reads a page of a process; none without an answer.
fn read_page(address: &str, path: &str) -> Option<String> {
    let mut socket = TcpStream::connect(address).ok()?;
    socket.set_read_timeout(Some(PAGE_LIMIT)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    Some(text)
}

fn wait_for<F>(what: &str, mut look: F) -> Result<(), String>
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + LIMIT;
    while !look() {
        if Instant::now() > end {
            return Err(format!("waited in vain for {what}"));
        }
        std::thread::sleep(PAUSE);
    }
    Ok(())
}

/// Settings that all processes of the site share.
struct Common {
    /// Folder of the keys.
    keys: String,
    /// File of the document.
    document: String,
}

impl Common {
    fn list_flags(&self, role: &str, name: &str, listen: &str, admin: &str) -> Vec<String> {
        let Common { keys, document } = self;
        let pairs = [
            ("--name", name),
            ("--zone", "oyo"),
            ("--listen", listen),
            ("--admin", admin),
            ("--ca", &format!("{keys}/ca.pem")),
            ("--cert", &format!("{keys}/peer.pem")),
            ("--key", &format!("{keys}/peer.key")),
            ("--document", document),
            ("--log", "warn"),
            ("--threads", "2"),
        ];
        let flags = pairs.iter().flat_map(|(flag, value)| [*flag, *value]);
        std::iter::once(role)
            .chain(flags)
            .map(str::to_owned)
            .collect()
    }
}

impl Site {
    /// Starts everything and waits until the entry can reach all agents.
    pub(super) fn start(seed: u64) -> Result<Self, String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let token = format!("token-{:016x}", rng.random::<u64>());
        let prompt = format!("draft {:016x}", rng.random::<u64>());
        let folder = std::env::temp_dir().join(format!("overhead-{}", std::process::id()));
        let keys = folder.join("keys").display().to_string();
        run_standins(&["keys", "--out", &keys, "--name", "peer"])?;
        let document = folder.join("document.toml");
        fs::write(&document, build_document(&token))
            .map_err(|e| format!("{} can't be written: {e}", document.display()))?;
        let plain_arguments = ["plain", "--listen", "127.0.0.1:0", "--name", "plain"];
        let (plain_process, plain) = Process::start_standin(&to_strings(&plain_arguments))?;
        let (fast_process, fast) = start_engine(1)?;
        let (slow_process, slow) = start_engine(SLOW_TOKEN_MS)?;
        let count = (2 * (AGENTS + 1)).to_string();
        let printed = run_standins(&["ports", "--count", &count])?;
        let addresses: Vec<String> = printed
            .lines()
            .map(|port| format!("127.0.0.1:{port}"))
            .collect();
        let document = document.display().to_string();
        let common = Common { keys, document };
        let backends = [
            ("desk", &plain),
            ("desk", &plain),
            ("fast", &fast),
            ("slow", &slow),
        ];
        let mut agents = Vec::new();
        let (listen, admin) = (&addresses[0], &addresses[1]);
        let mut entry_flags = common.list_flags("entry", "entry-1", listen, admin);
        for (n, (service, backend)) in backends.into_iter().enumerate() {
            let name = format!("agent-{n}");
            let (own, own_admin) = (&addresses[2 * n + 2], &addresses[2 * n + 3]);
            let mut arguments = common.list_flags("agent", &name, own, own_admin);
            let url = format!("http://{backend}");
            arguments.extend(to_strings(&["--service", service, "--backend", &url]));
            agents.push(Process::start("siskinbend", &arguments)?);
            entry_flags.extend(to_strings(&["--agent", &format!("{name}={own}")]));
        }
        let entry = Process::start("siskinbend", &entry_flags)?;
        wait_for("the agents at the entry", || {
            read_page(admin, "/admin/status")
                .is_some_and(|page| page.matches("it takes requests").count() == AGENTS)
        })?;
        Ok(Self {
            folder,
            token,
            prompt,
            entry,
            agents,
            _standins: vec![plain_process, fast_process, slow_process],
            listen: listen.clone(),
            plain,
            fast,
            slow,
        })
    }

    /// Base address of requests through the entry.
    pub(super) fn entry(&self) -> String {
        format!("http://{}/v1/services", self.listen)
    }

    /// Base address of short requests to the plain service itself.
    pub(super) fn direct(&self) -> String {
        format!("http://{}/v1", self.plain)
    }

    /// Base address of streams of the engine itself.
    pub(super) fn direct_engine(&self) -> String {
        format!("http://{}/v1", self.fast)
    }

    /// Measures short requests.
    pub(super) fn send_short(
        &self,
        base: &str,
        requests: u64,
        connections: usize,
    ) -> Result<Sample, String> {
        let path = if base == self.entry() {
            "desk/ladders"
        } else {
            "ladders"
        };
        let target = format!("{base}/{path}");
        let build = |requests: u64| self.build_load(&target, requests, connections);
        load::send(&build(WARM_REQUESTS))?;
        self.measure(&build(requests))
    }

    /// Measures streams whose tokens come as fast as the engine's timer allows.
    pub(super) fn send_streams(&self, base: &str, options: &Options) -> Result<Sample, String> {
        let path = if base == self.entry() {
            "fast/drafts"
        } else {
            "drafts"
        };
        let target = format!("{base}/{path}");
        let streams = options.connections as u64 * 4;
        let mut arguments = self.build_load(&target, streams, options.connections);
        arguments.extend(self.build_stream(options.tokens));
        self.measure(&arguments)
    }

    /// Measures memory at rest and with open streams.
    pub(super) fn measure_memory(&self, streams: usize) -> Result<Memory, String> {
        let agent = self.agents.last().ok_or("no agent was started")?;
        let (entry_rest, agent_rest) = (self.entry.read_memory()?, agent.read_memory()?);
        let target = format!("{}/slow/drafts", self.entry());
        let mut arguments = self.build_load(&target, streams as u64, streams);
        arguments.extend(self.build_stream(OPEN_TOKENS));
        let running = std::thread::spawn(move || load::send(&arguments));
        let open = format!("\"running\":{streams},");
        wait_for("the open streams", || {
            read_page(&self.slow, "/load").is_some_and(|page| page.contains(&open))
        })?;
        let memory = Memory {
            entry_rest,
            entry_open: self.entry.read_memory()?,
            agent_rest,
            agent_open: agent.read_memory()?,
        };
        let ended = running.join().map_err(|_| "the load tool failed")?;
        ended.map(|_| memory)
    }

    fn build_load(&self, target: &str, requests: u64, connections: usize) -> Vec<String> {
        let (requests, connections) = (requests.to_string(), connections.to_string());
        let seconds = RUN_SECONDS.to_string();
        to_strings(&[
            "--target",
            target,
            "--token",
            &self.token,
            "--requests",
            &requests,
            "--connections",
            &connections,
            "--seconds",
            &seconds,
        ])
    }

    fn build_stream(&self, tokens: u32) -> Vec<String> {
        let body = format!(
            "{{\"prompt\":\"{}\",\"max_tokens\":{tokens},\"stream\":true}}",
            self.prompt
        );
        to_strings(&["--stream", "--body", &body])
    }

    fn measure(&self, arguments: &[String]) -> Result<Sample, String> {
        let (entry, agents) = (self.entry.read_cpu()?, self.read_agents()?);
        let wait = self.entry.read_wait()?;
        let latency = load::send(arguments)?;
        Ok(Sample {
            latency,
            entry: Spent(self.entry.read_cpu()? - entry),
            agents: Spent(self.read_agents()? - agents),
            wait: Spent(self.entry.read_wait()?.saturating_sub(wait)),
        })
    }

    fn read_agents(&self) -> Result<Duration, String> {
        let mut sum = Duration::ZERO;
        for agent in &self.agents {
            sum += agent.read_cpu()?;
        }
        Ok(sum)
    }
}
