//! Bodies are read into paid memory, and what they held is released.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use sapphiretrack_clients::{BodyError, ClientEvent, ClientMemory, ConnectionGate, read_body};
use tokio::time::sleep;

const LIMIT_BYTES: usize = 4 * 1024 * 1024;
const BODY_BYTES: usize = 1024 * 1024;

type Events = Arc<Mutex<Vec<ClientEvent>>>;

fn memory() -> (Arc<ClientMemory>, Events) {
    let events = Events::default();
    let seen = events.clone();
    let report = move |event| seen.lock().expect("not poisoned").push(event);
    let memory = ClientMemory::new(LIMIT_BYTES, || 0, Box::new(report));
    (Arc::new(memory), events)
}

fn frames(bytes: usize, frame_bytes: usize) -> Vec<Result<Frame<Bytes>, Infallible>> {
    let frame = || Ok(Frame::data(Bytes::from(vec![b'x'; frame_bytes])));
    (0..bytes / frame_bytes).map(|_| frame()).collect()
}

#[tokio::test]
async fn a_body_costs_its_bytes_in_any_frames() {
    for frame_bytes in [1, 16, 4_096, BODY_BYTES] {
        let (memory, _) = memory();
        let mut body = StreamBody::new(stream::iter(frames(BODY_BYTES, frame_bytes)));
        let read = read_body(&memory, &mut body, BODY_BYTES).await;
        let (bytes, held) = read.expect("there is room");
        assert_eq!(bytes.len(), BODY_BYTES);
        assert!((BODY_BYTES..=2 * BODY_BYTES).contains(&memory.used_bytes()));
        drop(held);
        assert_eq!(memory.used_bytes(), 0);
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_it_is_kept() {
    let (memory, _) = memory();
    let mut announced = Full::new(Bytes::from(vec![b'x'; BODY_BYTES + 1]));
    let mut sent = StreamBody::new(stream::iter(frames(2 * BODY_BYTES, 4_096)));
    let limit_bytes = BODY_BYTES;
    let too_large = Some(BodyError::TooLarge { limit_bytes });
    assert_eq!(
        read_body(&memory, &mut announced, limit_bytes).await.err(),
        too_large
    );
    assert_eq!(
        read_body(&memory, &mut sent, limit_bytes).await.err(),
        too_large
    );
    assert_eq!(memory.used_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn stalled_bodies_give_way_to_one_that_moves() {
    let (memory, events) = memory();
    let stalled = (0..3).map(|_| {
        let memory = memory.clone();
        tokio::spawn(async move {
            let sent = stream::iter(frames(BODY_BYTES / 2 + 4_096, 4_096));
            let mut body = StreamBody::new(sent.chain(stream::pending()));
            read_body(&memory, &mut body, BODY_BYTES).await.err()
        })
    });
    let stalled: Vec<_> = stalled.collect();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(memory.used_bytes(), 3 * BODY_BYTES);
    let mut body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let read = read_body(&memory, &mut body, BODY_BYTES).await;
    assert_eq!(read.expect("there is room").0.len(), BODY_BYTES);
    sleep(Duration::from_millis(1)).await;
    let ended = stalled.iter().filter(|one| one.is_finished()).count();
    assert!((1..3).contains(&ended), "{ended} gave way");
    let events = events.lock().expect("not poisoned");
    let reclaimed = |event: &ClientEvent| matches!(event, ClientEvent::UploadReclaimed { .. });
    assert!(events.len() == ended && events.iter().all(reclaimed));
}

#[tokio::test(start_paused = true)]
async fn stalled_bodies_give_way_to_a_request() {
    let (memory, events) = memory();
    let stalled_bytes = LIMIT_BYTES / 8;
    let stalled = (0..7).map(|_| {
        let memory = memory.clone();
        tokio::spawn(async move {
            let sent = stream::iter(frames(stalled_bytes, 4_096));
            let mut body = StreamBody::new(sent.chain(stream::pending()));
            read_body(&memory, &mut body, BODY_BYTES).await.err()
        })
    });
    let stalled: Vec<_> = stalled.collect();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(memory.used_bytes(), 7 * stalled_bytes);
    let rest = memory.hold_request(stalled_bytes).await;
    assert!(rest.is_some(), "there is room without the stalled bodies");
    assert!(
        memory.hold_request(1).await.is_none(),
        "the bodies still move"
    );
    sleep(Duration::from_secs(5)).await;
    let held = memory.hold_request(2 * stalled_bytes).await;
    assert!(held.is_some(), "stalled bodies give way");
    assert_eq!(memory.used_bytes(), LIMIT_BYTES);
    let ended = stalled.iter().filter(|one| one.is_finished()).count();
    assert_eq!((ended, events.lock().expect("not poisoned").len()), (2, 2));
    drop((held, rest));
    assert_eq!(memory.used_bytes(), 5 * stalled_bytes);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_gives_way_and_a_running_one_does_not() {
    let (memory, _) = memory();
    let gate = ConnectionGate::new("callers", memory.clone(), 2);
    let running = Arc::new(gate.admit(1_000).await);
    let mut request = running.begin_request();
    request.record_running();
    let idle = gate.admit(1_000).await;
    let serving =
        tokio::spawn(async move { idle.serve(std::future::pending::<()>(), |_| {}).await });
    assert_eq!(memory.used_bytes(), 2_000);
    let next = gate.admit(1_000).await;
    serving.await.expect("the idle connection ends");
    assert_eq!(gate.open_connections(), 2);
    drop((next, request, running));
    assert_eq!((gate.open_connections(), memory.used_bytes()), (0, 0));
}
