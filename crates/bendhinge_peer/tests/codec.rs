//! Decoding restores the encoded chunks and rejects invalid input.

use arbtest::arbtest;
use bendhinge_peer::FrameCodec;

const MAX_CHUNK_BYTES: usize = 4 << 10;

#[test]
fn decoding_restores_a_sequence_of_chunks() {
    arbtest(|u| {
        let (mut sender, mut receiver) = (FrameCodec::default(), FrameCodec::default());
        for _ in 0..u.int_in_range(0..=20)? {
            let mut chunk: Vec<u8> = u.arbitrary()?;
            chunk.truncate(MAX_CHUNK_BYTES);
            // Covers both compressible and incompressible chunks.
            if u.arbitrary()? {
                chunk = chunk.iter().flat_map(|byte| [*byte; 9]).take(MAX_CHUNK_BYTES).collect();
            }
            let encoded = sender.encode(&chunk);
            assert!(encoded.len() <= chunk.len() + 1);
            assert_eq!(receiver.decode(&encoded, MAX_CHUNK_BYTES).unwrap(), chunk);
        }
        Ok(())
    });
}

/// Decoding of arbitrary bytes neither panics nor exceeds the maximum size.
#[test]
fn decoding_arbitrary_bytes_does_not_exceed_the_limit() {
    arbtest(|u| {
        let mut receiver = FrameCodec::default();
        for _ in 0..u.int_in_range(0..=5)? {
            let bytes: Vec<u8> = u.arbitrary()?;
            if let Ok(chunk) = receiver.decode(&bytes, MAX_CHUNK_BYTES) {
                assert!(chunk.len() <= MAX_CHUNK_BYTES.max(bytes.len()));
            }
        }
        Ok(())
    });
}

/// A message similar to the one before is compressed to a fraction of its size.
#[test]
fn similar_messages_compress_well() {
    let mut sender = FrameCodec::default();
    let message: Vec<u8> = (0..400_u32).map(|number| (number * number % 251) as u8).collect();
    let first = sender.encode(&message).len();
    let second = sender.encode(&message).len();
    assert!(second * 5 < first, "{second} bytes after {first}");
}
