//! Writes of several records, some of which fail.

use sapphiretrack_routing::WriteQueue;

/// Writes as many records as possible; those of `failing` always fail. Returns the written ones and the pauses.
fn write_all(queue: &mut WriteQueue<u32>, failing: &[u32], rounds: usize) -> (Vec<u32>, Vec<u64>) {
    let (mut written, mut pauses_ms) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let Some(key) = queue.pop() else {
            break;
        };
        if failing.contains(&key) {
            pauses_ms.push(queue.record_failure(key));
        } else {
            queue.record_success();
            written.push(key);
        }
    }
    (written, pauses_ms)
}

/// Guards against a record whose write keeps failing and is repeated before all others.
#[test]
fn a_write_that_keeps_failing_holds_up_no_other() {
    let mut queue = WriteQueue::default();
    (1..=4).for_each(|key| queue.push(key));
    let (written, _) = write_all(&mut queue, &[4, 1], 6);
    assert_eq!(written, [2, 3]);
}

/// Guards against pauses that stay long after writes have succeeded again.
#[test]
fn a_successful_write_ends_the_pauses() {
    let mut queue = WriteQueue::default();
    queue.push(1);
    let (_, pauses_ms) = write_all(&mut queue, &[1], 9);
    assert!(
        pauses_ms.is_sorted() && pauses_ms[8] == 3_200,
        "{pauses_ms:?}"
    );
    queue.push(2);
    let (written, pauses_ms) = write_all(&mut queue, &[1], 3);
    assert_eq!(written, [2]);
    assert_eq!(pauses_ms.last(), Some(&200), "{pauses_ms:?}");
}

#[test]
fn a_record_waits_once_however_often_it_changes() {
    let mut queue = WriteQueue::default();
    (0..3).for_each(|_| queue.push(1));
    assert_eq!(queue.pop(), Some(1));
    assert_eq!(queue.pop(), None);
}
