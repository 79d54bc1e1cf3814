//! Guards against bodies with very many short parts, which are parsed before anything bounds them,
//! and against a bound that counts what is not a value.

use model::has_more_json_values;

#[test]
fn values_at_all_depths_count() {
    let text = br#"{"a":1,"b":[1,2,{"c":[]}],"d":{}}"#;
    // The text itself, the first value within each of six brackets, and the others after a comma.
    assert!(!has_more_json_values(text, 10));
    assert!(has_more_json_values(text, 9));
}

#[test]
fn texts_count_once() {
    let text = br#"{"spec":"a,b,[c],{d},\",[\\","e":1}"#;
    assert!(!has_more_json_values(text, 3));
    assert!(has_more_json_values(text, 2));
}

#[test]
fn a_long_list_is_found_however_short_its_items_are() {
    for item in ["0", "\"\"", "{}", "[]", "null"] {
        let list = format!("[{}{item}]", format!("{item},").repeat(10_000));
        assert!(has_more_json_values(list.as_bytes(), 10_000), "{item}");
    }
}

#[test]
fn a_long_text_has_few_values() {
    let text = format!("{{\"spec\":\"{}\"}}", ",[{".repeat(80_000));
    assert!(!has_more_json_values(text.as_bytes(), 2));
    let padded = format!("{{}}{}", " ".repeat(250_000));
    assert!(!has_more_json_values(padded.as_bytes(), 2));
}
