//! A small deployment on loopback addresses: keepers, entries and agents as processes of their own,
//! with the command of the deploy file and the settings that the templates give.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::Executor;
use crate::http::{Message, call, request};

const CONTROL_PORT: u16 = 8_166;
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const APP_PORT: u16 = 8_165;
/// Capacity of an executor, in thousandths of a core.
const EXECUTOR_CPU: u64 = 16_000;
const INTERNAL_PORTS: [u16; 2] = [7_720, 7_735];
const DEPLOY_FILE: &str = "deploy/system.toml";
/// `memory_mb` of the machines of a site, by role.
pub type MemoryMb = [(&'static str, u64); 3];
/// Those of the site `kyuticket-dock`.
pub const KYUTICKET_MEMORY_MB: MemoryMb = [("entry", 260), ("agent", 128), ("keeper", 256)];

pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setrlimit(resource: i32, limits: *const u64) -> i32;
}

/// `limits.file_descriptors` of the site `kyuticket-dock`.
const FILE_DESCRIPTORS: u64 = 4_096;

/// Bounds the descriptors of a process that is about to start, and lets it end with this one.
fn bind_to_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const RLIMIT_NOFILE: i32 = 7;
    let limits = [FILE_DESCRIPTORS, FILE_DESCRIPTORS];
    // SAFETY: both calls take plain values or a valid pair of limits, and allocate nothing.
    unsafe {
        prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
        setrlimit(RLIMIT_NOFILE, limits.as_ptr());
    }
    Ok(())
}

/// Makes the next close of a socket a reset.
pub fn reset_on_close(stream: &std::net::TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1_i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// A process of the project; killed when dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child of this process that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Fleet {
    folder: PathBuf,
    network: String,
    pub keepers: Vec<Process>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub executors: Vec<Arc<Executor>>,
    memory_mb: MemoryMb,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        self.keepers.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts all processes and executors, sends the first configuration and waits until every
    /// entry is ready.
    pub fn start(
        entries: usize,
        agents: usize,
        memory_mb: MemoryMb,
        record: &Record,
    ) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            folder,
            network: format!("127.{}.{}", 20 + pid % 200, 1 + pid / 200 % 250),
            keepers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            executors: Vec::new(),
            memory_mb,
            record: record.clone(),
        };
        for number in 0..3 {
            let process = fleet.spawn("keeper", number)?;
            fleet.keepers.push(process);
        }
        for number in 0..entries {
            let process = fleet.spawn("entry", number)?;
            fleet.entries.push(process);
        }
        for number in 0..agents {
            let process = fleet.spawn("agent", number)?;
            fleet.agents.push(process);
            let executor = Executor::start(
                &format!("i-{number}"),
                fleet.address("agent", number, APP_PORT),
                fleet.address("agent", number, CONTROL_PORT),
                zone(number),
                EXECUTOR_CPU,
                record,
            );
            fleet.executors.push(executor.map_err(|error| error.to_string())?);
        }
        fleet.configure(7)?;
        for number in 0..entries {
            fleet
                .wait_until(&format!("entry {number} is ready"), |fleet| fleet.is_ready(number))?;
        }
        std::thread::sleep(Duration::from_secs(1));
        Ok(fleet)
    }

    fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !condition(self) {
            if Instant::now() > until {
                return Err(format!("not within 20 s: {what}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.line(what);
        Ok(())
    }

    fn address(&self, role: &str, number: usize, port: u16) -> SocketAddr {
        let first = match role {
            "keeper" => 1,
            "entry" => 11,
            _ => 101,
        };
        let address = format!("{}.{}:{port}", self.network, first + number);
        address.parse().expect("the address is valid")
    }

    pub fn keeper(&self, number: usize) -> SocketAddr {
        self.address("keeper", number, CONTROL_PORT)
    }

    /// The zone of an executor.
    pub fn zone_of(&self, executor: &str) -> &'static str {
        let number = self.executors.iter().position(|known| known.id == executor);
        number.map_or("", zone)
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        self.address("entry", entry, FRONT_PORT)
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let address = self.address("entry", entry, READY_PORT);
        let bytes = request("GET", &address.to_string(), "/readiness", "", "");
        call(address, &bytes, Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
    }

    /// Starts a process with the command of the deploy file.
    fn spawn(&self, role: &str, number: usize) -> Result<Process, String> {
        let deploy = fs::read_to_string(DEPLOY_FILE).map_err(|error| error.to_string())?;
        let section = format!("[roles.{role}]");
        let in_role = deploy.split_once(&section).ok_or("no such role")?.1;
        let field = |name: &str| {
            let line = in_role.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim_matches([' ', '=', '"']).to_owned())
        };
        let (Some(run), Some(template)) = (field("run"), field("template")) else {
            return Err(format!("{DEPLOY_FILE}: role {role} lacks a field"));
        };
        let name = format!("{role}-{number}");
        let data = self.folder.join(format!("{name}-data"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let template = fs::read_to_string(template).map_err(|error| error.to_string())?;
        let settings = self.folder.join(format!("{name}.ini"));
        let text = self.fill(&template, role, number, &data.display().to_string());
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let mut words = run.split(' ');
        let program = words.next().ok_or("an empty command")?;
        let arguments = words.map(|word| match word {
            "/etc/dockpass/settings.json" => settings.display().to_string(),
            word => word.to_owned(),
        });
        let log = fs::File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: `bind_to_parent` only makes system calls.
        unsafe { command.pre_exec(bind_to_parent) };
        let child = command.spawn().map_err(|error| format!("{program}: {error}"))?;
        Ok(Process { name, child })
    }

    /// `memory_mb` of the machines of a role.
    pub fn memory_of(&self, role: &str) -> u64 {
        self.memory_mb.iter().find(|(name, _)| *name == role).map_or(0, |(_, mb)| *mb)
    }

    /// Fills a template from the settings of a machine, as the platform does.
    fn fill(&self, template: &str, role: &str, number: usize, data: &str) -> String {
        let ip = self.address(role, number, 1).ip().to_string();
        let memory = self.memory_of(role);
        let seeds: Vec<String> =
            (0..3).map(|seed| self.address("keeper", seed, CONTROL_PORT).to_string()).collect();
        let values: BTreeMap<&str, String> = BTreeMap::from([
            ("node", format!("{role}-{number}")),
            ("zone", zone(number).to_owned()),
            ("ip", ip.clone()),
            ("internal_port_range.0", INTERNAL_PORTS[0].to_string()),
            ("internal_port_range.1", INTERNAL_PORTS[1].to_string()),
            ("limits.memory_mb", memory.to_string()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.max_hold_ms", "1000".to_owned()),
            ("bounds.remote_penalty", "1.5".to_owned()),
            ("listen.front", format!("{ip}:{FRONT_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("listen.control", format!("{ip}:{CONTROL_PORT}")),
            ("app", format!("{ip}:{APP_PORT}")),
            ("service", "booking".to_owned()),
            ("data_directory", data.to_owned()),
            ("bootstrap", "true".to_owned()),
            ("fault_tolerance.machines", "1".to_owned()),
        ]);
        let mut text = template.to_owned();
        for (name, value) in &values {
            // A section appears once if its value is given.
            text = fill_section(&text, name, std::slice::from_ref(value));
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        fill_section(&text, "seeds", &seeds)
    }

    /// A configuration with one queue for jobs like `fare-settle`.
    pub fn document(version: u64) -> String {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"nony24.example\",\
             \"path_prefix\":\"/lohu930/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\
             \"target_latency_ms\":60,\"priority\":0,\"service\":\"booking\",\"max_attempts\":2,\
             \"stretch\":1.6}}],\"services\":[{{\"name\":\"booking\",\"health_path\":\"/health\",\
             \"connection_limit\":64,\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\
             \"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        )
    }

    fn configure(&self, version: u64) -> Result<(), String> {
        let body = Self::document(version);
        self.wait_until(&format!("configuration {version} is acknowledged"), |fleet| {
            (0..3).any(|keeper| {
                let address = fleet.address("keeper", keeper, CONTROL_PORT);
                let host = address.to_string();
                let bytes = request("POST", &host, "/configuration/replace", "", &body);
                let answer = call(address, &bytes, Duration::from_secs(1));
                answer.is_some_and(|answer| answer.status() == 200)
            })
        })
    }
}

/// Repeats the section of a name for each of its values, with `{{.}}` for the value.
fn fill_section(text: &str, name: &str, values: &[String]) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&open) else { return text.to_owned() };
    let Some((inner, after)) = rest.split_once(&close) else { return text.to_owned() };
    let filled: String = values.iter().map(|value| inner.replace("{{.}}", value)).collect();
    format!("{before}{filled}{after}")
}

fn zone(number: usize) -> &'static str {
    ["fukuoka-hall", "kumamoto-hall", "kagoshima-hall"][number % 3]
}

/// The bytes of a submission of one step.
pub fn submission(id: u64, tasks: u32, cpu: u64, ms: u64, deadline_ms: u64) -> Vec<u8> {
    let body = format!(
        "{{\"best_effort\":true,\"spec\":\"cpu={cpu} ms={ms}\",\"steps\":[{{\"count\":{tasks},\
         \"cpu\":{cpu},\"mem_mb\":64,\"estimated_ms\":{ms}}}]}}"
    );
    let deadline = format!("X-Dockpass-Deadline-Milliseconds: {deadline_ms}\r\n");
    request("POST", "nony24.example", &format!("/lohu930/{id:016x}"), &deadline, &body)
}

/// The bytes of a request about a job without a body.
pub fn job_request(method: &str, id: u64) -> Vec<u8> {
    request(method, "nony24.example", &format!("/lohu930/{id:016x}"), "", "")
}

/// An answer as text for the record.
pub fn describe(answer: Option<&Message>) -> String {
    answer.map_or("no answer".to_owned(), |answer| {
        format!("{} {}", answer.status(), answer.body_text())
    })
}
