//! Values by queue for a bounded number of queues.

use telemetry::QueueTable;

/// Guards against memory and metrics pages that grow with every queue that was ever configured.
#[test]
fn queues_beyond_the_bound_share_a_value() {
    let mut table = QueueTable::<u64>::default();
    for number in 0..300 {
        *table.get_mut(&format!("queue-{number}")) += 1;
    }
    *table.get_mut("queue-0") += 1;
    assert_eq!(table.iter().count(), 256);
    assert_eq!(table.get("queue-0"), Some(&2));
    assert_eq!(table.get(QueueTable::<u64>::OTHER_QUEUES), Some(&45));
    assert_eq!(table.iter().map(|(_, count)| count).sum::<u64>(), 301);
}
