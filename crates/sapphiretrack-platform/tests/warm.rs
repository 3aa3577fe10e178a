//! Snapshots of placement memories: what is not whole is told apart, and never taken in.

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
    let fake = FakePlatform::start(settings).await.expect("it starts");
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

/// What is said of an object in the place of the snapshot.
async fn problem(client: &PlatformClient, object: Vec<u8>) -> &'static str {
    let put = client.put_object(NAME, Bytes::from(object)).await;
    put.expect("it is stored");
    match read(client).await {
        Err(PlatformError::BadWarmSnapshot { problem }) => problem,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_snapshot_is_read_as_it_was_written_and_small() {
    let (_fake, client) = platform().await;
    assert!(matches!(
        read(&client).await,
        Err(PlatformError::NoWarmSnapshot)
    ));
    let store = WarmStore::new(client.clone());
    let written = snapshot(10_000);
    let done = store.write(RouterId(7), WarmPart::Base, &written).await;
    done.expect("it is written");
    assert_eq!(read(&client).await.expect("it is whole"), written);
    let object = client.get_object(NAME).await.expect("a reply");
    let bytes = object.expect("it is there").len();
    assert!(bytes < 170_000, "{bytes} bytes");
}

#[tokio::test]
async fn a_snapshot_with_any_byte_changed_or_missing_is_refused() {
    let (_fake, client) = platform().await;
    let store = WarmStore::new(client.clone());
    let done = store.write(RouterId(7), WarmPart::Base, &snapshot(3)).await;
    done.expect("it is written");
    let object = client.get_object(NAME).await.expect("a reply");
    let whole = object.expect("it is there").to_vec();
    for index in 0..whole.len() {
        let mut changed = whole.clone();
        changed[index] ^= 1;
        problem(&client, changed).await;
        problem(&client, whole[..index].to_vec()).await;
    }
    let mut longer = whole;
    longer.push(0);
    assert_eq!(problem(&client, longer).await, "its checksum does not fit");
}

#[tokio::test]
async fn a_foreign_an_older_and_a_huge_snapshot_are_told_apart() {
    let (_fake, client) = platform().await;
    let store = WarmStore::new(client.clone());
    let done = store.write(RouterId(8), WarmPart::Base, &snapshot(3)).await;
    done.expect("it is written");
    let foreign = client
        .get_object("placement-memory-0000000000000008-base")
        .await;
    let foreign = foreign.expect("a reply").expect("it is there").to_vec();
    assert_eq!(problem(&client, foreign).await, "it is another router's");
    let older = b"{\"format\":0,\"router\":7,\"written_at_ms\":1,\"checksum\":1}\n";
    assert_eq!(
        problem(&client, older.to_vec()).await,
        "it is of another format"
    );
    assert_eq!(
        problem(&client, vec![b'\n'; 2 << 20]).await,
        "it is too large"
    );
}
