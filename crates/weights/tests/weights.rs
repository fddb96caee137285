//! Manifests and the chunk store.

use base::Digest;
use bytes::Bytes;
use proptest::prelude::*;
use weights::{ChunkStore, Manifest, ManifestError, StoreError};

fn chunk(n: u8, len: usize) -> (Digest, Bytes) {
    let buf = Bytes::from(vec![n; len]);
    (Digest::of(&buf), buf)
}

#[test]
fn rejects_a_manifest_with_a_changed_byte() {
    let manifest = Manifest::from_reader(&[7u8; 1000][..], 100).expect("a manifest");
    let mut buf = manifest.encode();
    buf[10] ^= 1;
    let decoded = Manifest::decode(&buf, manifest.digest());
    assert!(
        matches!(decoded, Err(ManifestError::Digest { .. })),
        "{decoded:?}"
    );
}

#[test]
fn rejects_a_manifest_with_inconsistent_sizes() {
    for text in [
        r#"{"bytes":10,"chunk_bytes":0,"chunks":[]}"#,
        r#"{"bytes":0,"chunk_bytes":4,"chunks":[]}"#,
        r#"{"bytes":10,"chunk_bytes":4,"chunks":[]}"#,
        r#"{"bytes":18446744073709551615,"chunk_bytes":1,"chunks":[]}"#,
    ] {
        let decoded = Manifest::decode(text.as_bytes(), Digest::of(text.as_bytes()));
        assert!(
            matches!(decoded, Err(ManifestError::Shape { .. })),
            "{text}"
        );
    }
}

#[test]
fn rejects_corrupt_and_oversized_chunks() {
    let mut store = ChunkStore::new(100);
    let ((a, buf), (b, _)) = (chunk(1, 50), chunk(2, 50));
    assert!(matches!(
        store.put(b, buf.clone()),
        Err(StoreError::Corrupt { .. })
    ));
    let (big, big_buf) = chunk(3, 101);
    assert_eq!(store.put(big, big_buf), Err(StoreError::TooLarge(101, 100)));
    assert_eq!(store.stored_bytes(), 0);
    store.put(a, buf).expect("chunk is accepted");
    assert_eq!(store.stored_bytes(), 50);
}

proptest! {
    #![proptest_config(cases::cases(300))]

    #[test]
    fn ranges_of_a_manifest_partition_the_weights(len in 1usize..5000, chunk in 1u32..700) {
        let weights: Vec<u8> = (0..len).map(|i| i as u8).collect();
        let manifest = Manifest::from_reader(weights.as_slice(), chunk).expect("a manifest");
        let mut joined = Vec::new();
        for (i, digest) in manifest.chunks.iter().enumerate() {
            let (first, end) = manifest.range(i);
            let part = &weights[first as usize..end as usize];
            prop_assert_eq!(Digest::of(part), *digest);
            joined.extend_from_slice(part);
        }
        prop_assert_eq!(joined, weights);
        let again = Manifest::decode(&manifest.encode(), manifest.digest()).expect("valid");
        prop_assert_eq!(again, manifest);
    }

    #[test]
    fn store_stays_within_its_bound_and_retains_the_newest_chunk(puts in prop::collection::vec((0u8..20, 1usize..60), 1..60)) {
        let mut store = ChunkStore::new(200);
        for (n, len) in puts {
            let (digest, buf) = chunk(n, len);
            store.put(digest, buf.clone()).expect("it fits");
            prop_assert!(store.stored_bytes() <= 200);
            prop_assert_eq!(store.get(&digest), Some(buf));
        }
        store.retain(|_| false);
        prop_assert_eq!(store.stored_bytes(), 0);
    }
}
