//! LZ4 compression of the messages between routers.
//!
//! The dictionary consists of the data sent before, since successive messages are similar. Both ends of
//! a connection process the same chunks in the same order, so their dictionaries are equal.

/// The size of the dictionary of each direction.
const DICTIONARY_BYTES: usize = 4 << 10;

/// The encoding of a chunk; the first byte of each encoded chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Encoding {
    /// Uncompressed.
    Plain = 0,
    /// LZ4 block.
    Compressed = 1,
}

/// A chunk could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer sent a chunk that cannot be decompressed")]
pub struct DecodeError;

/// Encoder or decoder for one direction of a connection.
#[derive(Debug, Default)]
pub struct FrameCodec {
    dictionary: Vec<u8>,
}

impl FrameCodec {
    fn extend_dictionary(&mut self, chunk: &[u8]) {
        self.dictionary.extend_from_slice(chunk);
        let excess = self.dictionary.len().saturating_sub(DICTIONARY_BYTES);
        self.dictionary.drain(..excess);
    }

    /// Encodes a non-empty chunk.
    #[must_use]
    pub fn encode(&mut self, chunk: &[u8]) -> Vec<u8> {
        let compressed = lz4_flex::block::compress_with_dict(chunk, &self.dictionary);
        self.extend_dictionary(chunk);
        let (encoding, bytes) = if compressed.len() < chunk.len() {
            (Encoding::Compressed, compressed.as_slice())
        } else {
            (Encoding::Plain, chunk)
        };
        let mut encoded = Vec::with_capacity(bytes.len() + 1);
        encoded.push(encoding as u8);
        encoded.extend_from_slice(bytes);
        encoded
    }

    /// Decodes a chunk whose decoded size is at most `max_bytes`.
    pub fn decode(&mut self, encoded: &[u8], max_bytes: usize) -> Result<Vec<u8>, DecodeError> {
        let (encoding, bytes) = encoded.split_first().ok_or(DecodeError)?;
        let chunk = if *encoding == Encoding::Plain as u8 {
            bytes.to_vec()
        } else {
            lz4_flex::block::decompress_with_dict(bytes, max_bytes, &self.dictionary)
                .map_err(|_| DecodeError)?
        };
        self.extend_dictionary(&chunk);
        Ok(chunk)
    }
}
