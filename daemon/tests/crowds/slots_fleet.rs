//! A keeper, an agent and an entry that schedule by slots, with a target: the product's own
//! interface.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use fakes::{Behaviour, ServiceTime, Target};
use tempfile::TempDir;

use crate::support::{Process, call, eventually};

const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// The processes and their configuration files.
pub struct SlotsFleet {
    folder: TempDir,
    network: String,
    target: Target,
}

impl SlotsFleet {
    /// Writes the configuration files and starts the target.
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("the folder is created");
        let pid = std::process::id();
        let network = format!("127.{}.{}", 1 + pid % 250, 251 + pid / 250 % 4);
        let service_time = ServiceTime::FromTaskHash { min_ms: 20, max_ms: 40 };
        let target = Target::start(service_time, Behaviour::Succeed);
        let fleet = Self { folder, network, target: target.expect("the target starts") };
        fleet.write_files();
        fleet
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.network).parse().expect("the address is valid")
    }

    /// Address at which callers reach the entry.
    pub fn entry_address(&self) -> SocketAddr {
        self.address(2, 7_300)
    }

    /// Address at which operators reach the keeper.
    pub fn keeper_address(&self) -> SocketAddr {
        self.address(1, 7_100)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write_files(&self) {
        let write = |name: &str, text: String| {
            fs::write(self.path(name), text).expect("the file is written");
        };
        fs::create_dir(self.path("data")).expect("the folder is created");
        let node_address = self.address(1, 7_101);
        let (peer, agent) = (self.address(2, 7_301), self.address(3, 7_400));
        let platform = format!("platform = file:{}\n", self.path("platform.ini").display());
        write(
            "tree.ini",
            "[work]\nteam = t\n[work/k]\ndeadline_ms = 1500\n\
            [teams/t]\nweight = 1\n[fleet]\nclaim_view = a1@r1\n"
                .to_owned(),
        );
        write(
            "platform.ini",
            format!(
                "[e1]\nrole = entry\naddress = {peer}\nhall = h\n\
             [a1]\nrole = agent\naddress = {agent}\nhall = h\nrack = r1\n"
            ),
        );
        write(
            "keeper.ini",
            format!(
                "[node]\nname = k1\nroles = keeper\n[keeper]\nlisten = {}\nnode_listen = {node_address}\n\
             data = {}\ninitial = {}\n",
                self.keeper_address(),
                self.path("data").display(),
                self.path("tree.ini").display()
            ),
        );
        write(
            "agent.ini",
            format!(
                "[node]\nname = a1\nroles = agent\nhall = h\nrack = r1\nkeepers = {node_address}\n\
             {platform}[agent]\nlisten = {agent}\ntarget = {}\nservice = work\nslots = 64\n",
                self.target.address()
            ),
        );
        write(
            "entry.ini",
            format!(
                "[node]\nname = e1\nroles = entry\nhall = h\nkeepers = {node_address}\n{platform}\
             [entry]\nlisten = {}\npeer_listen = {peer}\n",
                self.entry_address()
            ),
        );
        let initialized = Command::new(env!("CARGO_BIN_EXE_dockpassd"))
            .arg("--config")
            .arg(self.path("keeper.ini"))
            .arg("--init-keeper")
            .status();
        assert!(initialized.is_ok_and(|status| status.success()), "the cluster is created");
    }

    /// Starts `keeper`, `agent` or `entry`.
    pub fn start(&self, name: &str) -> Process {
        let log = self.path(&format!("{name}.log"));
        Process::start(&self.path(&format!("{name}.ini")), &log)
    }

    /// Waits until the entry is ready.
    pub fn wait_until_ready(&self) {
        eventually("the entry is ready", || self.is_ready());
    }

    /// Whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        call(self.entry_address(), "GET", "/ready", "", READY_TIMEOUT)
            .is_some_and(|answer| answer.status == 200)
    }
}
