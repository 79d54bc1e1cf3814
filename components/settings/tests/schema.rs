//! Parsing and range checks of values.

use std::time::Duration;

use settings::{Key, Value, ValueType};

const LIMIT: Key = Key {
    name: "limit",
    value_type: ValueType::Integer { min: 1, max: 690, unit: "tasks" },
    default: "690",
    help: "",
};
const GRACE: Key = Key {
    name: "grace_s",
    value_type: ValueType::Seconds { min_ms: 1_000, max_ms: 600_000 },
    default: "6",
    help: "",
};

const PENALTY: Key = Key {
    name: "penalty",
    value_type: ValueType::Factor { min: 1, max: 100 },
    default: "1",
    help: "",
};

/// Guards against factors that would shorten run times or overflow them.
#[test]
fn factors_accept_decimals_and_reject_values_outside_the_range() {
    assert_eq!(PENALTY.parse("1"), Ok(Value::Thousandths(1_000)));
    assert_eq!(PENALTY.parse("2.5"), Ok(Value::Thousandths(2_500)));
    assert_eq!(PENALTY.parse("100"), Ok(Value::Thousandths(100_000)));
    assert_eq!(PENALTY.parse("0.9"), Err("0.9 is out of range 1 to 100".to_owned()));
    assert_eq!(PENALTY.parse("100.5"), Err("100.5 is out of range 1 to 100".to_owned()));
    assert!(PENALTY.parse("nan").unwrap_err().contains("out of range"));
    assert!(PENALTY.parse("inf").unwrap_err().contains("out of range"));
    assert!(PENALTY.parse("").unwrap_err().contains("not a number"));
    assert_eq!(PENALTY.describe_type(), "decimal 1 to 100");
}

#[test]
fn integers_outside_the_range_are_rejected() {
    assert_eq!(LIMIT.parse("690"), Ok(Value::Integer(690)));
    assert!(LIMIT.parse("0").unwrap_err().contains("out of range"));
    assert!(LIMIT.parse("691").unwrap_err().contains("out of range"));
    assert!(LIMIT.parse("5s").unwrap_err().contains("not a whole number"));
}

#[test]
fn seconds_accept_decimals_and_reject_values_outside_the_range() {
    assert_eq!(GRACE.parse("6"), Ok(Value::Duration(Duration::from_secs(6))));
    assert_eq!(GRACE.parse("6.5"), Ok(Value::Duration(Duration::from_millis(6_500))));
    assert!(GRACE.parse("0.9").unwrap_err().contains("out of range"));
    assert!(GRACE.parse("601").unwrap_err().contains("out of range"));
    assert!(GRACE.parse("nan").unwrap_err().contains("out of range"));
    assert!(GRACE.parse("").unwrap_err().contains("not a number"));
    assert_eq!(GRACE.describe_type(), "decimal 1 to 600, s");
}
