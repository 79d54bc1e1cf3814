//! Typed keys: what a setting may hold, its unit, range and default.

use std::net::SocketAddr;
use std::time::Duration;

/// What a key's value may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number within a range, in a unit.
    Integer {
        /// The smallest value taken.
        min: u64,
        /// The largest value taken.
        max: u64,
        /// The unit, for people.
        unit: &'static str,
    },
    /// A time in seconds, whole or with decimals, within a range.
    Seconds {
        /// The shortest time taken, in ms.
        min_ms: u64,
        /// The longest time taken, in ms.
        max_ms: u64,
    },
    /// `true` or `false`.
    Flag,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// Any text without line breaks.
    Text,
    /// Agents as `NAME@RACK`, parted by spaces.
    Members,
    /// `IP:PORT`.
    Address,
    /// Addresses parted by spaces.
    Addresses,
}

/// One setting's name, type, default and meaning.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The name as written in INI.
    pub name: &'static str,
    /// What it may hold.
    pub value_type: ValueType,
    /// The value in force where none is written.
    pub default: &'static str,
    /// One sentence on what it does.
    pub help: &'static str,
}

/// A value read by its key's type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A whole number.
    Integer(u64),
    /// A time.
    Duration(Duration),
    /// `true` or `false`.
    Flag(bool),
    /// A word or a text.
    Text(String),
    /// Words in order.
    List(Vec<String>),
    /// An address.
    Address(SocketAddr),
    /// Addresses in order.
    Addresses(Vec<SocketAddr>),
}

impl Key {
    /// Reads a value, or says in a clause why it can't be taken.
    pub fn parse(&self, text: &str) -> Result<Value, String> {
        match self.value_type {
            ValueType::Integer { min, max, unit } => read_integer(text, min, max, unit),
            ValueType::Seconds { min_ms, max_ms } => read_seconds(text, min_ms, max_ms),
            ValueType::Flag => read_flag(text),
            ValueType::Choice(words) => read_choice(text, words),
            ValueType::Text => read_text(text),
            ValueType::Members => read_members(text),
            ValueType::Address => read_address(text).map(Value::Address),
            ValueType::Addresses => read_addresses(text),
        }
    }

    /// The type in words, with unit and range.
    pub fn describe_type(&self) -> String {
        match self.value_type {
            ValueType::Integer { min, max, unit } => format!("integer {min} to {max}, {unit}"),
            ValueType::Seconds { min_ms, max_ms } => {
                format!("decimal {} to {}, s", seconds(min_ms), seconds(max_ms))
            }
            ValueType::Flag => "true or false".to_owned(),
            ValueType::Choice(words) => words.join(" or "),
            ValueType::Text => "text".to_owned(),
            ValueType::Members => "NAME@RACK, parted by spaces".to_owned(),
            ValueType::Address => "IP:PORT".to_owned(),
            ValueType::Addresses => "IP:PORT, parted by spaces".to_owned(),
        }
    }

    /// Finds a key by name.
    pub fn find<'a>(keys: &'a [Key], name: &str) -> Option<&'a Key> {
        keys.iter().find(|key| key.name == name)
    }
}

impl Value {
    /// The whole number. Panics when the schema gave another type: a bug in the caller.
    pub fn integer(&self) -> u64 {
        match self {
            Self::Integer(number) => *number,
            other => panic!("not an integer key: {other:?}"),
        }
    }

    /// The time. Panics when the schema gave another type: a bug in the caller.
    pub fn duration(&self) -> Duration {
        match self {
            Self::Duration(time) => *time,
            other => panic!("not a key of a time: {other:?}"),
        }
    }

    /// The flag. Panics when the schema gave another type: a bug in the caller.
    pub fn flag(&self) -> bool {
        match self {
            Self::Flag(flag) => *flag,
            other => panic!("not a flag key: {other:?}"),
        }
    }

    /// The text or word. Panics when the schema gave another type: a bug in the caller.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            other => panic!("not a text key: {other:?}"),
        }
    }

    /// The address. Panics when the schema gave another type: a bug in the caller.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Address(address) => *address,
            other => panic!("not an address key: {other:?}"),
        }
    }

    /// The addresses. Panics when the schema gave another type: a bug in the caller.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Addresses(addresses) => addresses,
            other => panic!("not a key of addresses: {other:?}"),
        }
    }

    /// The words. Panics when the schema gave another type: a bug in the caller.
    pub fn list(&self) -> &[String] {
        match self {
            Self::List(words) => words,
            other => panic!("not a list key: {other:?}"),
        }
    }
}

fn read_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("'{text}' is not IP:PORT"))
}

fn read_addresses(text: &str) -> Result<Value, String> {
    let addresses: Result<Vec<SocketAddr>, String> =
        text.split_whitespace().map(read_address).collect();
    addresses.map(Value::Addresses)
}

fn read_integer(text: &str, min: u64, max: u64, unit: &str) -> Result<Value, String> {
    let number: u64 =
        text.parse().map_err(|_| format!("'{text}' is not a whole number ({unit})"))?;
    if number < min || number > max {
        return Err(format!("{number} is out of range {min} to {max} ({unit})"));
    }
    Ok(Value::Integer(number))
}

fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}

fn read_seconds(text: &str, min_ms: u64, max_ms: u64) -> Result<Value, String> {
    let number: f64 = text.parse().map_err(|_| format!("'{text}' is not a number (s)"))?;
    let (min, max) = (seconds(min_ms), seconds(max_ms));
    if !(min..=max).contains(&number) {
        return Err(format!("{text} is out of range {min} to {max} (s)"));
    }
    Ok(Value::Duration(Duration::from_secs_f64(number)))
}

fn read_flag(text: &str) -> Result<Value, String> {
    match text {
        "true" => Ok(Value::Flag(true)),
        "false" => Ok(Value::Flag(false)),
        _ => Err(format!("'{text}' is neither true nor false")),
    }
}

fn read_choice(text: &str, words: &[&str]) -> Result<Value, String> {
    if words.contains(&text) {
        return Ok(Value::Text(text.to_owned()));
    }
    Err(format!("'{text}' is none of: {}", words.join(", ")))
}

fn read_text(text: &str) -> Result<Value, String> {
    if text.contains(['\n', '\r']) {
        return Err("a value has one line".to_owned());
    }
    Ok(Value::Text(text.to_owned()))
}

fn read_members(text: &str) -> Result<Value, String> {
    let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
    let mut names: Vec<&str> = Vec::with_capacity(words.len());
    for word in &words {
        match word.split_once('@') {
            Some((name, rack)) if !name.is_empty() && !rack.is_empty() => names.push(name),
            _ => return Err(format!("'{word}' is not NAME@RACK")),
        }
    }
    names.sort_unstable();
    if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(format!("'{}' stands twice", twice[0]));
    }
    Ok(Value::List(words))
}
