//! The schema: all keys of the settings tree.

use crate::schema::{Key, ValueType};

/// Keys of `[/]`, services and kinds. Child sections inherit their values.
pub const SERVICE_KEYS: &[Key] = &[
    Key {
        name: "state",
        value_type: ValueType::Choice(&["started", "stopped"]),
        default: "started",
        help: "A stopped service takes no new work; what runs goes on to its end.",
    },
    Key {
        name: "team",
        value_type: ValueType::Text,
        default: "default",
        help: "The team on whose account the work counts; its weight stands in [teams/NAME].",
    },
    Key {
        name: "deadline_ms",
        value_type: ValueType::Integer { min: 1, max: 600_000, unit: "ms" },
        default: "2000",
        help: "Time from a request's arrival to its answer, where the request names none.",
    },
    Key {
        name: "expected_ms",
        value_type: ValueType::Integer { min: 1, max: 600_000, unit: "ms" },
        default: "200",
        help: "Assumed duration of a task until enough tasks were measured.",
    },
    Key {
        name: "tasks_max",
        value_type: ValueType::Integer { min: 1, max: 690, unit: "tasks" },
        default: "690",
        help: "Most tasks in one job; a larger job gets 413.",
    },
    Key {
        name: "task_bytes_max",
        value_type: ValueType::Integer { min: 1, max: 262_144, unit: "bytes" },
        default: "16384",
        help: "Longest text of one task; a longer one gets 413.",
    },
    Key {
        name: "retry_percent",
        value_type: ValueType::Integer { min: 0, max: 100, unit: "% of requests" },
        default: "0",
        help: "Budget for sending a repeatable request again without proof that it did not run.",
    },
];

/// Keys of `[fleet]`.
pub const FLEET_KEYS: &[Key] = &[
    Key {
        name: "claim_view",
        value_type: ValueType::Members,
        default: "",
        help: "Agents that hold claims, each as NAME@RACK.",
    },
    Key {
        name: "previous_claim_view",
        value_type: ValueType::Members,
        default: "",
        help: "The view before; written by the keeper when claim_view changes.",
    },
    Key {
        name: "previous_claim_view_until_ms",
        value_type: ValueType::Integer { min: 0, max: u64::MAX, unit: "ms since 1970" },
        default: "0",
        help: "Until when both views must agree; written by the keeper.",
    },
    Key {
        name: "retention_ms",
        value_type: ValueType::Integer { min: 1_000, max: 3_600_000, unit: "ms" },
        default: "600000",
        help: "How long claims, start tables and answers are kept after a submission id was made.",
    },
    Key {
        name: "clock_skew_ms",
        value_type: ValueType::Integer { min: 1, max: 10_000, unit: "ms" },
        default: "250",
        help: "Bound on the difference between two hosts' clocks.",
    },
    Key {
        name: "token_lease_ms",
        value_type: ValueType::Integer { min: 100, max: 60_000, unit: "ms" },
        default: "4000",
        help: "How long an agent lends slot tokens to an entry that stays silent.",
    },
    Key {
        name: "settings_age_max_ms",
        value_type: ValueType::Integer { min: 1_000, max: 86_400_000, unit: "ms" },
        default: "8000",
        help: "An entry that could not confirm its settings for longer takes no new work.",
    },
    Key {
        name: "answer_bytes_max",
        value_type: ValueType::Integer { min: 65_536, max: 1_073_741_824, unit: "bytes" },
        default: "67108864",
        help: "Memory for kept answers at an entry; the oldest are dropped over it.",
    },
];

/// Keys of `[teams/NAME]`.
pub const TEAM_KEYS: &[Key] = &[Key {
    name: "weight",
    value_type: ValueType::Integer { min: 1, max: 1_000, unit: "parts" },
    default: "1",
    help: "The team's part of the slots when teams compete.",
}];

/// Returns the reference of all keys as Markdown, for `dockpassd --print-reference`.
pub fn reference_page() -> String {
    let mut page = String::new();
    page.push_str("## `[/]`, `[SERVICE]`, `[SERVICE/KIND]`\n\n");
    page.push_str(&Key::table(SERVICE_KEYS));
    page.push_str("\n## `[fleet]`\n\n");
    page.push_str(&Key::table(FLEET_KEYS));
    page.push_str("\n## `[teams/NAME]`\n\n");
    page.push_str(&Key::table(TEAM_KEYS));
    page
}

impl Key {
    /// Returns a Markdown table of `keys` with their type, default and meaning.
    pub fn table(keys: &[Key]) -> String {
        let mut table = String::from("| key | type | default | meaning |\n|---|---|---|---|\n");
        for key in keys {
            let default = if key.default.is_empty() { "(empty)" } else { key.default };
            table.push_str(&format!(
                "| `{}` | {} | `{default}` | {} |\n",
                key.name,
                key.describe_type(),
                key.help
            ));
        }
        table
    }
}
