//! The sections and keys of the daemon's configuration file, with types, defaults and descriptions.

use std::collections::BTreeMap;

use membership::Role;
use settings::{Key, SettingsError, Value, ValueType};

pub(super) const NODE: &str = "node";
pub(super) const ENTRY: &str = "entry";
pub(super) const AGENT: &str = "agent";
pub(super) const KEEPER: &str = "keeper";
pub(super) const EXPERIMENT: &str = "experiment";

const NODE_KEYS: &[Key] = &[
    Key {
        name: "name",
        value_type: ValueType::Text,
        default: "",
        help: "Name of the node, unique in the fleet. Has to be written.",
    },
    Key {
        name: "roles",
        value_type: ValueType::Text,
        default: "",
        help: "Any of entry, agent, keeper, separated by spaces. Has to be written.",
    },
    Key { name: "hall", value_type: ValueType::Text, default: "", help: "Its data hall." },
    Key { name: "rack", value_type: ValueType::Text, default: "", help: "Its rack." },
    Key {
        name: "keepers",
        value_type: ValueType::Addresses,
        default: "",
        help: "Where keepers listen for nodes. Has to be written for entries and agents.",
    },
    Key {
        name: "platform",
        value_type: ValueType::Text,
        default: "",
        help: "The platform's list of hosts: file:PATH or http://IP:PORT/PATH.",
    },
    Key {
        name: "platform_poll_ms",
        value_type: ValueType::Integer { min: 10, max: 60_000, unit: "ms" },
        default: "500",
        help: "How often the list is read.",
    },
    Key {
        name: "scheduling",
        value_type: ValueType::Choice(&["slots", "room"]),
        default: "slots",
        help: "How capacity is measured: slots, all alike, or room of processor, memory and accelerators.",
    },
    Key {
        name: "node_port",
        value_type: ValueType::Integer { min: 0, max: 65_535, unit: "port" },
        default: "0",
        help: "With scheduling = room: the port at which every keeper listens for nodes. Has to be written.",
    },
    Key {
        name: "metrics",
        value_type: ValueType::Text,
        default: "",
        help: "With scheduling = room: IP:PORT where counters and latencies are served as text at /metrics.",
    },
    Key {
        name: "stop_grace_s",
        value_type: ValueType::Seconds { min_ms: 1_000, max_ms: 600_000 },
        default: "6",
        help: "With scheduling = room: how long the platform waits from SIGTERM until it ends the process by force.",
    },
    Key {
        name: "logs",
        value_type: ValueType::Text,
        default: "",
        help: "Folder of dockpassd.log and decisions.log; without it, standard error and no decisions.",
    },
    Key {
        name: "counters_every_ms",
        value_type: ValueType::Integer { min: 100, max: 3_600_000, unit: "ms" },
        default: "10000",
        help: "How often the counters are logged.",
    },
    Key {
        name: "memory_mb",
        value_type: ValueType::Integer { min: 32, max: 1_048_576, unit: "MB" },
        default: "128",
        help: "Memory of the host that the process may use; the limits on clients follow from it.",
    },
    Key {
        name: "client_memory_percent",
        value_type: ValueType::Integer { min: 10, max: 90, unit: "percent" },
        default: "60",
        help: "Share of memory_mb for clients over HTTP: their connections, bodies, jobs and answers. Bodies, jobs and answers over 16 KiB take at most half of it.",
    },
    Key {
        name: "client_stall_ms",
        value_type: ValueType::Integer { min: 100, max: 600_000, unit: "ms" },
        default: "1500",
        help: "Time without progress after which a client's body gives way to other clients.",
    },
    Key {
        name: "answer_timeout_ms",
        value_type: ValueType::Integer { min: 100, max: 600_000, unit: "ms" },
        default: "10000",
        help: "Time without progress after which the connection of a client that does not read its answer is closed.",
    },
    Key {
        name: "large_body_interval_ms",
        value_type: ValueType::Integer { min: 0, max: 10_000, unit: "ms" },
        default: "10",
        help: "Least time between two bodies over 16 KiB that a server of the process passes on.",
    },
    Key {
        name: "max_body_values",
        value_type: ValueType::Integer { min: 100, max: 10_000_000, unit: "values" },
        default: "10000",
        help: "With scheduling = room: most values (fields and list items) in the body of a job or of a target's report.",
    },
];

const ENTRY_KEYS: &[Key] = &[
    Key {
        name: "listen",
        value_type: ValueType::Address,
        default: "",
        help: "Where callers reach it over HTTP. Has to be written.",
    },
    Key {
        name: "ready_listen",
        value_type: ValueType::Text,
        default: "",
        help: "With scheduling = room: IP:PORT where the balancer asks whether it is ready. Has to be written.",
    },
    Key {
        name: "peer_listen",
        value_type: ValueType::Address,
        default: "",
        help: "Where other entries (with scheduling = room: agents) reach it. Has to be written.",
    },
    Key {
        name: "peer_address",
        value_type: ValueType::Text,
        default: "",
        help: "With scheduling = room: IP:PORT at which agents reach it, if other than peer_listen.",
    },
    Key {
        name: "drain_notice_ms",
        value_type: ValueType::Integer { min: 0, max: 600_000, unit: "ms" },
        default: "5000",
        help: "How long it goes on taking requests after it has said that it is not ready.",
    },
    Key {
        name: "remote_penalty",
        value_type: ValueType::Factor { min: 1, max: 100 },
        default: "1",
        help: "With scheduling = room: how many times as long a task takes away from the data that its job names; with 1 the data is only a preference.",
    },
    Key {
        name: "kept_answers_percent",
        value_type: ValueType::Integer { min: 1, max: 50, unit: "percent" },
        default: "20",
        help: "With scheduling = slots: most of memory_mb for kept answers and refusals, if the settings tree's answer_bytes_max is larger; the oldest are dropped over it.",
    },
    Key {
        name: "max_job_tasks",
        value_type: ValueType::Integer { min: 1, max: 100_000, unit: "tasks" },
        default: "10000",
        help: "With scheduling = room: most tasks of a job.",
    },
];

const AGENT_KEYS: &[Key] = &[
    Key {
        name: "listen",
        value_type: ValueType::Address,
        default: "",
        help: "Where entries (with scheduling = room: its target) reach it. Has to be written.",
    },
    Key {
        name: "target",
        value_type: ValueType::Address,
        default: "",
        help: "Where its target listens. Has to be written.",
    },
    Key {
        name: "service",
        value_type: ValueType::Text,
        default: "",
        help: "The service that its target runs tasks for. Has to be written.",
    },
    Key {
        name: "slots",
        value_type: ValueType::Integer { min: 1, max: 1_024, unit: "tasks" },
        default: "8",
        help: "Tasks that the target takes at once.",
    },
    Key {
        name: "stuck_ms",
        value_type: ValueType::Integer { min: 100, max: 3_600_000, unit: "ms" },
        default: "30000",
        help: "After this a task that the target does not answer is given up as may-have-run.",
    },
    Key {
        name: "entries_served",
        value_type: ValueType::Integer { min: 1, max: 1_024, unit: "entries" },
        default: "6",
        help: "With scheduling = room: minimum number of entries to have sessions with, if there are as many.",
    },
    Key {
        name: "agents_of_entry",
        value_type: ValueType::Integer { min: 1, max: 4_096, unit: "agents" },
        default: "28",
        help: "With scheduling = room: agents of its service that each entry has at least, on average.",
    },
    Key {
        name: "longest_lease_ms",
        value_type: ValueType::Integer { min: 100, max: 3_600_000, unit: "ms" },
        default: "15000",
        help: "With scheduling = room: the longest lease that its target grants, whatever a command asks for.",
    },
];

const KEEPER_KEYS: &[Key] = &[
    Key {
        name: "listen",
        value_type: ValueType::Address,
        default: "",
        help: "Where operators reach it over HTTP. Has to be written.",
    },
    Key {
        name: "node_listen",
        value_type: ValueType::Address,
        default: "",
        help: "Where nodes and other keepers reach it. Has to be written.",
    },
    Key {
        name: "data",
        value_type: ValueType::Text,
        default: "",
        help: "The folder of its persistent data; it has to exist. Has to be written.",
    },
    Key {
        name: "initial",
        value_type: ValueType::Text,
        default: "",
        help: "INI file with the initial settings tree for --init-keeper.",
    },
    Key {
        name: "found",
        value_type: ValueType::Flag,
        default: "false",
        help: "With scheduling = room: creates a new cluster on an empty disk, if it is one of [node] keepers.",
    },
    Key {
        name: "tolerated_losses",
        value_type: ValueType::Integer { min: 0, max: 3, unit: "keepers" },
        default: "1",
        help: "With scheduling = room: keepers that may be lost at once; twice this number plus one vote.",
    },
    Key {
        name: "hall_command_lifetime_ms",
        value_type: ValueType::Integer { min: 0, max: 60_000, unit: "ms" },
        default: "5000",
        help: "With scheduling = room: how long a command to empty or refill a hall may be in transit. Within this time after a command, the opposite one needs a confirmation.",
    },
    Key {
        name: "peers",
        value_type: ValueType::Members,
        default: "",
        help: "All 3 or 5 keepers, this one included, as NAME@IP:PORT of their node_listen.",
    },
];

/// Keys for measurements of the policy's parts, which are not listed on the reference page.
const EXPERIMENT_KEYS: &[Key] = &[Key {
    name: "without",
    value_type: ValueType::Text,
    default: "",
    help: "With scheduling = room: parts of the policy that are switched off, separated by spaces.",
}];

/// The sections of the reference page with their keys.
const SECTIONS: &[(&str, &[Key])] =
    &[(NODE, NODE_KEYS), (ENTRY, ENTRY_KEYS), (AGENT, AGENT_KEYS), (KEEPER, KEEPER_KEYS)];

/// The values written in a file, by section and key, checked against the keys' types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Sections {
    written: BTreeMap<String, BTreeMap<String, String>>,
}

impl Sections {
    /// Checks parsed INI. Fails on unknown sections, unknown keys and invalid values.
    pub fn read(
        written: BTreeMap<String, BTreeMap<String, String>>,
    ) -> Result<Self, SettingsError> {
        for (section, values) in &written {
            let keys = keys_of(section)
                .ok_or_else(|| SettingsError::section(section, "unknown section"))?;
            for (name, text) in values {
                let key = Key::find(keys, name)
                    .ok_or_else(|| SettingsError::key(section, name, "unknown key"))?;
                key.parse(text).map_err(|reason| SettingsError::key(section, name, reason))?;
            }
        }
        Ok(Self { written })
    }

    /// Returns the written value or the default.
    pub fn value(&self, section: &str, name: &str) -> Result<Value, SettingsError> {
        let key = keys_of(section)
            .and_then(|keys| Key::find(keys, name))
            .expect("the key is declared in its section");
        let written = self.written.get(section).and_then(|values| values.get(name));
        let text = written.map_or(key.default, String::as_str);
        key.parse(text).map_err(|reason| SettingsError::key(section, name, reason))
    }

    /// Returns a value that has no default; fails if it is not written.
    pub fn required(&self, section: &str, name: &str) -> Result<Value, SettingsError> {
        let written = self.written.get(section).and_then(|values| values.get(name));
        match written {
            Some(text) if !text.is_empty() => self.value(section, name),
            _ => Err(SettingsError::key(section, name, "has to be written")),
        }
    }

    /// Returns the settings of the sections that these roles use as INI, including the defaults.
    pub fn effective_settings(&self, roles: &[Role]) -> String {
        let used = |section: &str| match section {
            ENTRY => roles.contains(&Role::Entry),
            AGENT => roles.contains(&Role::Agent),
            KEEPER => roles.contains(&Role::Keeper),
            _ => true,
        };
        let mut text = String::new();
        for (section, keys) in SECTIONS.iter().filter(|(section, _)| used(section)) {
            text.push_str(&format!("[{section}]\n"));
            for key in *keys {
                let written = self.written.get(*section).and_then(|values| values.get(key.name));
                let value = written.map_or(key.default, String::as_str);
                text.push_str(&format!("{} = {value}\n", key.name));
            }
            text.push('\n');
        }
        text
    }
}

/// Replaces the written values by those of environment variables named `DOCKPASS_SECTION_KEY`.
pub(super) fn override_values(
    written: &mut BTreeMap<String, BTreeMap<String, String>>,
    variable: impl Fn(&str) -> Option<String>,
) {
    for (section, keys) in SECTIONS {
        for key in *keys {
            let name = format!("DOCKPASS_{section}_{}", key.name).to_uppercase();
            if let Some(value) = variable(&name).filter(|value| !value.is_empty()) {
                let values = written.entry((*section).to_owned()).or_default();
                values.insert(key.name.to_owned(), value);
            }
        }
    }
}

fn keys_of(section: &str) -> Option<&'static [Key]> {
    if section == EXPERIMENT {
        return Some(EXPERIMENT_KEYS);
    }
    SECTIONS.iter().find(|(name, _)| *name == section).map(|(_, keys)| *keys)
}

/// Returns the Markdown reference page of all settings of the daemon's file and the settings tree.
pub fn print_reference() -> String {
    let mut page =
        String::from("# Settings reference\n\nPrinted by `dockpassd --print-reference`.\n");
    page.push_str("\n# The daemon's file\n\n");
    page.push_str(
        "An environment variable `DOCKPASS_SECTION_KEY` overrides the key of that section.\n",
    );
    for (section, keys) in SECTIONS {
        page.push_str(&format!("\n## `[{section}]`\n\n{}", Key::table(keys)));
    }
    page.push_str("\n# The settings tree\n\n");
    page.push_str(&settings::reference_page());
    page
}
