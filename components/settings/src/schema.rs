//! Keys and values: types, units, ranges, defaults and parsing.

use std::net::SocketAddr;
use std::time::Duration;

/// The type and range of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number within a range.
    Integer {
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
        /// The unit, as shown in errors and in the reference.
        unit: &'static str,
    },
    /// A duration in seconds within a range; decimals are allowed.
    Seconds {
        /// The shortest allowed duration, in milliseconds.
        min_ms: u64,
        /// The longest allowed duration, in milliseconds.
        max_ms: u64,
    },
    /// A factor within a range; decimals are allowed.
    Factor {
        /// The smallest allowed value.
        min: u32,
        /// The largest allowed value.
        max: u32,
    },
    /// `true` or `false`.
    Flag,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// Any text without line breaks.
    Text,
    /// Agents as `NAME@RACK`, separated by spaces.
    Members,
    /// A socket address as `IP:PORT`.
    Address,
    /// Socket addresses separated by spaces.
    Addresses,
}

/// The schema of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The name, as written in INI text.
    pub name: &'static str,
    /// The type of its value.
    pub value_type: ValueType,
    /// The value if none is set, as written in INI text.
    pub default: &'static str,
    /// The description in the reference, one sentence.
    pub help: &'static str,
}

/// A value parsed by its key's type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A value of an integer key.
    Integer(u64),
    /// A value of a seconds key.
    Duration(Duration),
    /// A value of a factor key, in thousandths.
    Thousandths(u64),
    /// A value of a flag key.
    Flag(bool),
    /// A value of a choice key or a text key.
    Text(String),
    /// The agents of a members key, in the order written.
    List(Vec<String>),
    /// A value of an address key.
    Address(SocketAddr),
    /// A value of an addresses key, in the order written.
    Addresses(Vec<SocketAddr>),
}

impl Key {
    /// Parses a value; the error is a clause that names the reason.
    ///
    /// Keeper replicas store the reason, so its text must not differ between releases.
    pub fn parse(&self, text: &str) -> Result<Value, String> {
        match self.value_type {
            ValueType::Integer { min, max, unit } => parse_integer(text, min, max, unit),
            ValueType::Seconds { min_ms, max_ms } => parse_seconds(text, min_ms, max_ms),
            ValueType::Factor { min, max } => parse_factor(text, min, max),
            ValueType::Flag => parse_flag(text),
            ValueType::Choice(words) => parse_choice(text, words),
            ValueType::Text => parse_text(text),
            ValueType::Members => parse_members(text),
            ValueType::Address => parse_address(text).map(Value::Address),
            ValueType::Addresses => parse_addresses(text),
        }
    }

    /// Describes the type, range and unit for the reference.
    pub fn describe_type(&self) -> String {
        match self.value_type {
            ValueType::Integer { min, max, unit } => format!("integer {min} to {max}, {unit}"),
            ValueType::Seconds { min_ms, max_ms } => {
                format!("decimal {} to {}, s", to_seconds(min_ms), to_seconds(max_ms))
            }
            ValueType::Factor { min, max } => format!("decimal {min} to {max}"),
            ValueType::Flag => "true or false".to_owned(),
            ValueType::Choice(words) => words.join(" or "),
            ValueType::Text => "text".to_owned(),
            ValueType::Members => "NAME@RACK, parted by spaces".to_owned(),
            ValueType::Address => "IP:PORT".to_owned(),
            ValueType::Addresses => "IP:PORT, parted by spaces".to_owned(),
        }
    }

    /// Finds the key of this name.
    pub fn find<'a>(keys: &'a [Key], name: &str) -> Option<&'a Key> {
        keys.iter().find(|key| key.name == name)
    }
}

impl Value {
    /// The number of an integer key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn integer(&self) -> u64 {
        match self {
            Self::Integer(number) => *number,
            other => panic!("expected an integer, got {other:?}"),
        }
    }

    /// The duration of a seconds key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn duration(&self) -> Duration {
        match self {
            Self::Duration(duration) => *duration,
            other => panic!("expected a duration, got {other:?}"),
        }
    }

    /// The factor of a factor key, in thousandths.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn thousandths(&self) -> u64 {
        match self {
            Self::Thousandths(factor) => *factor,
            other => panic!("expected a factor, got {other:?}"),
        }
    }

    /// The value of a flag key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn flag(&self) -> bool {
        match self {
            Self::Flag(flag) => *flag,
            other => panic!("expected a flag, got {other:?}"),
        }
    }

    /// The text of a text key or the word of a choice key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            other => panic!("expected a text, got {other:?}"),
        }
    }

    /// The address of an address key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Address(address) => *address,
            other => panic!("expected an address, got {other:?}"),
        }
    }

    /// The addresses of an addresses key.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Addresses(addresses) => addresses,
            other => panic!("expected addresses, got {other:?}"),
        }
    }

    /// The agents of a members key, each as `NAME@RACK`.
    ///
    /// # Panics
    ///
    /// Panics if the value has another type.
    pub fn list(&self) -> &[String] {
        match self {
            Self::List(words) => words,
            other => panic!("expected a list of agents, got {other:?}"),
        }
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("'{text}' is not IP:PORT"))
}

fn parse_addresses(text: &str) -> Result<Value, String> {
    let addresses: Result<Vec<SocketAddr>, String> =
        text.split_whitespace().map(parse_address).collect();
    addresses.map(Value::Addresses)
}

fn parse_integer(text: &str, min: u64, max: u64, unit: &str) -> Result<Value, String> {
    let number: u64 =
        text.parse().map_err(|_| format!("'{text}' is not a whole number ({unit})"))?;
    if number < min || number > max {
        return Err(format!("{number} is out of range {min} to {max} ({unit})"));
    }
    Ok(Value::Integer(number))
}

fn to_seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}

fn parse_seconds(text: &str, min_ms: u64, max_ms: u64) -> Result<Value, String> {
    let number: f64 = text.parse().map_err(|_| format!("'{text}' is not a number (s)"))?;
    let (min, max) = (to_seconds(min_ms), to_seconds(max_ms));
    if !(min..=max).contains(&number) {
        return Err(format!("{text} is out of range {min} to {max} (s)"));
    }
    Ok(Value::Duration(Duration::from_secs_f64(number)))
}

fn parse_factor(text: &str, min: u32, max: u32) -> Result<Value, String> {
    let number: f64 = text.parse().map_err(|_| format!("'{text}' is not a number"))?;
    if !(f64::from(min)..=f64::from(max)).contains(&number) {
        return Err(format!("{text} is out of range {min} to {max}"));
    }
    Ok(Value::Thousandths((number * 1e3).round() as u64))
}

fn parse_flag(text: &str) -> Result<Value, String> {
    match text {
        "true" => Ok(Value::Flag(true)),
        "false" => Ok(Value::Flag(false)),
        _ => Err(format!("'{text}' is neither true nor false")),
    }
}

fn parse_choice(text: &str, words: &[&str]) -> Result<Value, String> {
    if words.contains(&text) {
        return Ok(Value::Text(text.to_owned()));
    }
    Err(format!("'{text}' is none of: {}", words.join(", ")))
}

fn parse_text(text: &str) -> Result<Value, String> {
    if text.contains(['\n', '\r']) {
        return Err("a value has one line".to_owned());
    }
    Ok(Value::Text(text.to_owned()))
}

fn parse_members(text: &str) -> Result<Value, String> {
    let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
    let mut names: Vec<&str> = Vec::with_capacity(words.len());
    for word in &words {
        match word.split_once('@') {
            Some((name, rack)) if !name.is_empty() && !rack.is_empty() => names.push(name),
            _ => return Err(format!("'{word}' is not NAME@RACK")),
        }
    }
    names.sort_unstable();
    if let Some(duplicate) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(format!("'{}' stands twice", duplicate[0]));
    }
    Ok(Value::List(words))
}
