//! The platform's list of hosts, as INI: one section a node.
//!
//! ```ini
//! [a1]
//! role = agent
//! address = 10.1.2.3:7400
//! hall = fukuoka
//! rack = r1
//! state = live
//! ```
//!
//! The list lags. It names who may exist and who is leaving; who lives is found out by talking.

use std::net::SocketAddr;

use model::NodeName;
use serde::{Deserialize, Serialize};
use settings::{Key, SettingsError, Value, ValueType, parse_ini};

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes requests.
    Entry,
    /// Starts tasks on its target.
    Agent,
    /// Keeps the settings tree.
    Keeper,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It is there.
    Live,
    /// It is being taken away.
    Leaving,
}

/// One node on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: NodeName,
    /// What it does.
    pub role: Role,
    /// Where other dockpass processes reach it.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
    /// What the platform says of it.
    pub state: HostState,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The nodes, by name.
    pub hosts: Vec<Host>,
}

const KEYS: &[Key] = &[
    Key {
        name: "role",
        value_type: ValueType::Choice(&["entry", "agent", "keeper"]),
        default: "agent",
        help: "What the node does.",
    },
    Key {
        name: "address",
        value_type: ValueType::Address,
        default: "",
        help: "Where other dockpass processes reach it.",
    },
    Key { name: "hall", value_type: ValueType::Text, default: "", help: "Its data hall." },
    Key { name: "rack", value_type: ValueType::Text, default: "", help: "Its rack." },
    Key {
        name: "state",
        value_type: ValueType::Choice(&["live", "leaving"]),
        default: "live",
        help: "What the platform says of it.",
    },
];

impl HostList {
    /// Reads the list from INI text.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let mut hosts = Vec::new();
        for (name, section) in parse_ini(text)? {
            let unknown = section.keys().find(|key| Key::find(KEYS, key).is_none());
            if let Some(key) = unknown {
                return Err(SettingsError::key(&name, key, "unknown key"));
            }
            let value = |key: &str| read(&name, key, section.get(key).map(String::as_str));
            hosts.push(Host {
                role: role(value("role")?.text()),
                address: value("address")?.address(),
                hall: value("hall")?.text().to_owned(),
                rack: value("rack")?.text().to_owned(),
                state: state(value("state")?.text()),
                name: NodeName::new(&name),
            });
        }
        Ok(Self { hosts })
    }

    /// The list as INI text; reads back to an equal list.
    pub fn to_ini(&self) -> String {
        self.hosts.iter().map(section).collect()
    }

    /// The nodes of a role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |host| host.role == role)
    }
}

fn read(section: &str, name: &str, text: Option<&str>) -> Result<Value, SettingsError> {
    let key = Key::find(KEYS, name).expect("a key of the list");
    let text = text.unwrap_or(key.default);
    key.parse(text).map_err(|reason| SettingsError::key(section, name, reason))
}

fn role(word: &str) -> Role {
    match word {
        "entry" => Role::Entry,
        "keeper" => Role::Keeper,
        _ => Role::Agent,
    }
}

fn state(word: &str) -> HostState {
    match word {
        "leaving" => HostState::Leaving,
        _ => HostState::Live,
    }
}

fn section(host: &Host) -> String {
    let role = match host.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
        Role::Keeper => "keeper",
    };
    let state = match host.state {
        HostState::Live => "live",
        HostState::Leaving => "leaving",
    };
    format!(
        "[{}]\nrole = {role}\naddress = {}\nhall = {}\nrack = {}\nstate = {state}\n\n",
        host.name, host.address, host.hall, host.rack
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = "[a1]\naddress = 127.0.0.1:7400\nhall = fukuoka\nrack = r1\n\n\
                        [e1]\nrole = entry\naddress = 127.0.0.1:7300\nstate = leaving\n";

    #[test]
    fn the_list_reads_back() {
        let list = HostList::from_ini(LIST).unwrap();
        assert_eq!(list.of_role(Role::Agent).count(), 1);
        assert_eq!(list.hosts[1].state, HostState::Leaving);
        assert_eq!(HostList::from_ini(&list.to_ini()).unwrap(), list);
    }

    #[test]
    fn a_bad_list_names_the_node_and_key() {
        let error = HostList::from_ini("[a1]\naddress = here\n").unwrap_err();
        assert_eq!(error.to_string(), "[a1] address: 'here' is not IP:PORT");
    }
}
