//! The platform's host list, parsed from INI with one section per node:
//!
//! ```ini
//! [a1]
//! role = agent
//! address = 10.1.2.3:7400
//! hall = fukuoka
//! rack = r1
//! state = live
//! ```

use std::net::SocketAddr;

use model::NodeName;
use serde::{Deserialize, Serialize};
use settings::{Key, SettingsError, Value, ValueType, parse_ini};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts client requests and dispatches their tasks.
    Entry,
    /// Starts tasks on the target of its host.
    Agent,
    /// Replicates the settings tree.
    Keeper,
}

/// Lifecycle state of a host as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is being decommissioned.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name of the node.
    pub name: NodeName,
    /// Role of the node.
    pub role: Role,
    /// Address at which other dockpass processes reach the node.
    pub address: SocketAddr,
    /// Data hall of the host.
    pub hall: String,
    /// Rack of the host.
    pub rack: String,
    /// State reported by the platform.
    pub state: HostState,
}

/// The platform's host list. It is eventually consistent and defines which nodes may exist and
/// which are leaving; liveness is determined by the failure detector.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The nodes, sorted by name.
    pub hosts: Vec<Host>,
}

const KEYS: &[Key] = &[
    Key {
        name: "role",
        value_type: ValueType::Choice(&["entry", "agent", "keeper"]),
        default: "agent",
        help: "Role of the node.",
    },
    Key {
        name: "address",
        value_type: ValueType::Address,
        default: "",
        help: "Address at which other dockpass processes reach the node.",
    },
    Key { name: "hall", value_type: ValueType::Text, default: "", help: "Data hall of the host." },
    Key { name: "rack", value_type: ValueType::Text, default: "", help: "Rack of the host." },
    Key {
        name: "state",
        value_type: ValueType::Choice(&["live", "leaving"]),
        default: "live",
        help: "State of the host as reported by the platform.",
    },
];

impl HostList {
    /// Parses the list from INI text. The error names the section and key that are invalid.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let mut hosts = Vec::new();
        for (name, section) in parse_ini(text)? {
            let unknown = section.keys().find(|key| Key::find(KEYS, key).is_none());
            if let Some(key) = unknown {
                return Err(SettingsError::key(&name, key, "unknown key"));
            }
            let value = |key: &str| read_value(&name, key, section.get(key).map(String::as_str));
            hosts.push(Host {
                role: parse_role(value("role")?.text()),
                address: value("address")?.address(),
                hall: value("hall")?.text().to_owned(),
                rack: value("rack")?.text().to_owned(),
                state: parse_state(value("state")?.text()),
                name: NodeName::new(&name),
            });
        }
        Ok(Self { hosts })
    }

    /// Formats the list as INI text that [`HostList::from_ini`] parses to an equal list.
    pub fn to_ini(&self) -> String {
        self.hosts.iter().map(format_section).collect()
    }

    /// Iterates over the nodes with the given role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |host| host.role == role)
    }
}

fn read_value(section: &str, name: &str, text: Option<&str>) -> Result<Value, SettingsError> {
    let key = Key::find(KEYS, name).expect("the key is defined in KEYS");
    let text = text.unwrap_or(key.default);
    key.parse(text).map_err(|reason| SettingsError::key(section, name, reason))
}

fn parse_role(word: &str) -> Role {
    match word {
        "entry" => Role::Entry,
        "keeper" => Role::Keeper,
        _ => Role::Agent,
    }
}

fn parse_state(word: &str) -> HostState {
    match word {
        "leaving" => HostState::Leaving,
        _ => HostState::Live,
    }
}

fn format_section(host: &Host) -> String {
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
    fn host_list_round_trips_through_ini() {
        let list = HostList::from_ini(LIST).unwrap();
        assert_eq!(list.of_role(Role::Agent).count(), 1);
        assert_eq!(list.hosts[1].state, HostState::Leaving);
        assert_eq!(HostList::from_ini(&list.to_ini()).unwrap(), list);
    }

    #[test]
    fn invalid_address_error_names_node_and_key() {
        let error = HostList::from_ini("[a1]\naddress = here\n").unwrap_err();
        assert_eq!(error.to_string(), "[a1] address: 'here' is not IP:PORT");
    }
}
