//! The memory of a process as its machine counts it: resident pages, bytes that have arrived and
//! are not read, and answers that clients don't read.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};

const BYTES_PER_MB: u64 = 1 << 20;
/// The state of a listening socket in `/proc/net/tcp`, whose queues count connections, not bytes.
const LISTENING: &str = "0A";

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub resident: u64,
    /// Received bytes that the process has not read, also on connections it has not accepted.
    pub unread: u64,
    /// Sent bytes that the other side has not acknowledged.
    pub unsent: u64,
}

impl Memory {
    /// Reads the memory of a process that listens on the given addresses; `None` once it has ended.
    pub fn of_process(pid: u32, listens: &[SocketAddr]) -> Option<Self> {
        let resident = resident_bytes(pid)?;
        let inodes = socket_inodes(pid);
        let (mut unread, mut unsent) = (0, 0);
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        for socket in table.lines().skip(1).filter_map(Socket::parse) {
            let is_waiting = socket.inode == 0 && listens.contains(&socket.local);
            if is_waiting || inodes.contains(&socket.inode) {
                unread += socket.received;
                unsent += socket.sent;
            }
        }
        Some(Self { resident, unread, unsent })
    }

    pub fn total(&self) -> u64 {
        self.resident + self.unread + self.unsent
    }

    pub fn total_mb(&self) -> u64 {
        self.total() / BYTES_PER_MB
    }

    pub fn unread_mb(&self) -> u64 {
        (self.unread + self.unsent) / BYTES_PER_MB
    }
}

fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes << 10)
}

/// Inode numbers of the sockets that a process has open.
fn socket_inodes(pid: u32) -> HashSet<u64> {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return HashSet::new() };
    let inode_of = |descriptor: fs::DirEntry| {
        let link = fs::read_link(descriptor.path()).ok()?;
        link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    descriptors.flatten().filter_map(inode_of).collect()
}

/// A connected socket in `/proc/net/tcp`.
struct Socket {
    local: SocketAddr,
    sent: u64,
    received: u64,
    /// 0 while no process has accepted the connection.
    inode: u64,
}

impl Socket {
    fn parse(line: &str) -> Option<Self> {
        let mut fields = line.split_whitespace().skip(1);
        let local = parse_address(fields.next()?)?;
        let _remote = fields.next()?;
        if fields.next()? == LISTENING {
            return None;
        }
        let (sent, received) = fields.next()?.split_once(':')?;
        let inode = fields.nth(4)?.parse().ok()?;
        let number = |text| u64::from_str_radix(text, 16).ok();
        Some(Self { local, sent: number(sent)?, received: number(received)?, inode })
    }
}

/// Parses `0100007F:1C84`: the address in the host's byte order, which is little-endian on the
/// machines that dockpass supports, and the port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
