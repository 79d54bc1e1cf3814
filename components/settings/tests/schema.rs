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
