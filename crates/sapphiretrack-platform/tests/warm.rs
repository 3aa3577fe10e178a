//! Snapshots of placement memories: invalid ones are rejected, each with its own error.

use bytes::Bytes;
use sapphiretrack_core::{ChatKey, RouterId, ServerId, WarmHint, WarmList};
use sapphiretrack_fakes::{FakePlatform, PlatformSettings};
use sapphiretrack_platform::{
    PlatformClient, PlatformError, Settings, WarmPart, WarmSnapshot, WarmStore,
};

const NAME: &str = "placement-memory-0000000000000007-base";

async fn platform() -> (FakePlatform, PlatformClient) {
    let settings = PlatformSettings {
        reads_per_s: u32::MAX,
        writes_per_s: u32::MAX,
        ..PlatformSettings::default()
    };
    let fake = FakePlatform::start(settings)
        .await
        .expect("the fake platform starts");
    let client = PlatformClient::new(Settings {
        url: fake.url(),
        ..Settings::default()
    });
    (fake, client)
}

fn snapshot(chats: u64) -> WarmSnapshot {
    let places = (1..=chats).map(|chat| {
        let place = WarmHint {
            server: ServerId(chat % 12),
            incarnation: 1,
            tokens: 4_000,
            age_ms: 1_800_000,
        };
        (ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)), place)
    });
    WarmSnapshot {
        written_at_ms: 1_700_000_000_000,
        list: WarmList::new(places),
    }
}

async fn read(client: &PlatformClient) -> Result<WarmSnapshot, PlatformError> {
    let store = WarmStore::new(client.clone());
    store.read(RouterId(7), WarmPart::Base).await
}

/// Stores an object in place of the snapshot and returns the problem that reading it reports.
async fn problem_of(client: &PlatformClient, object: Vec<u8>) -> &'static str {
    let put = client.put_object(NAME, Bytes::from(object)).await;
    put.expect("the object is stored");
    match read(client).await {
        Err(PlatformError::BadWarmSnapshot { problem }) => problem,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_snapshot_is_read_as_written_and_is_small() {
    let (_fake, client) = platform().await;
    assert!(matches!(
        read(&client).await,
        Err(PlatformError::NoWarmSnapshot)
    ));
    let store = WarmStore::new(client.clone());
    let written = snapshot(10_000);
    let result = store.write(RouterId(7), WarmPart::Base, &written).await;
    result.expect("the snapshot is written");
    assert_eq!(read(&client).await.expect("the snapshot is valid"), written);
    let object = client.get_object(NAME).await.expect("a reply");
    let bytes = object.expect("the object exists").len();
    assert!(bytes < 170_000, "{bytes} bytes");
}

#[tokio::test]
async fn a_snapshot_with_any_changed_or_missing_byte_is_rejected() {
    let (_fake, client) = platform().await;
    let store = WarmStore::new(client.clone());
    let result = store.write(RouterId(7), WarmPart::Base, &snapshot(3)).await;
    result.expect("the snapshot is written");
    let object = client.get_object(NAME).await.expect("a reply");
    let original = object.expect("the object exists").to_vec();
    for index in 0..original.len() {
        let mut changed = original.clone();
        changed[index] ^= 1;
        problem_of(&client, changed).await;
        problem_of(&client, original[..index].to_vec()).await;
    }
    let mut longer = original;
    longer.push(0);
    assert_eq!(
        problem_of(&client, longer).await,
        "its checksum does not fit"
    );
}

#[tokio::test]
async fn snapshots_of_another_router_or_format_and_oversized_ones_have_distinct_errors() {
    let (_fake, client) = platform().await;
    let store = WarmStore::new(client.clone());
    let result = store.write(RouterId(8), WarmPart::Base, &snapshot(3)).await;
    result.expect("the snapshot is written");
    let other_router = client
        .get_object("placement-memory-0000000000000008-base")
        .await;
    let other_router = other_router
        .expect("a reply")
        .expect("the object exists")
        .to_vec();
    assert_eq!(
        problem_of(&client, other_router).await,
        "it is another router's"
    );
    let old_format = b"{\"format\":0,\"router\":7,\"written_at_ms\":1,\"checksum\":1}\n";
    assert_eq!(
        problem_of(&client, old_format.to_vec()).await,
        "it is of another format"
    );
    assert_eq!(
        problem_of(&client, vec![b'\n'; 2 << 20]).await,
        "it is too large"
    );
}
