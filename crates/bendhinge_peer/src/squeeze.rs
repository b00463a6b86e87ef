//! Making the messages between routers small: each is much like those before it.
//!
//! LZ4 with what was sent before as its dictionary. Both ends of a connection see the same
//! pieces in the same order, so their dictionaries are the same.

/// Bytes of what was sent before that are kept as the dictionary, for each direction.
const HISTORY: usize = 4 << 10;

/// How a piece stands in its frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// As it is.
    Plain = 0,
    /// Compressed.
    Squeezed = 1,
}

/// The other side sent what cannot be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a piece that cannot be unpacked")]
pub struct UnpackError;

/// One direction of a connection.
#[derive(Debug, Default)]
pub struct Squeeze {
    history: Vec<u8>,
}

impl Squeeze {
    fn remember(&mut self, piece: &[u8]) {
        self.history.extend_from_slice(piece);
        let excess = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..excess);
    }

    /// Packs a piece; empty pieces do not occur.
    #[must_use]
    pub fn pack(&mut self, piece: &[u8]) -> Vec<u8> {
        let squeezed = lz4_flex::block::compress_with_dict(piece, &self.history);
        self.remember(piece);
        let (form, bytes) = if squeezed.len() < piece.len() {
            (Form::Squeezed, squeezed.as_slice())
        } else {
            (Form::Plain, piece)
        };
        let mut packed = Vec::with_capacity(bytes.len() + 1);
        packed.push(form as u8);
        packed.extend_from_slice(bytes);
        packed
    }

    /// Unpacks a piece of at most `largest` bytes.
    pub fn unpack(&mut self, packed: &[u8], largest: usize) -> Result<Vec<u8>, UnpackError> {
        let (form, bytes) = packed.split_first().ok_or(UnpackError)?;
        let piece = if *form == Form::Plain as u8 {
            bytes.to_vec()
        } else {
            lz4_flex::block::decompress_with_dict(bytes, largest, &self.history).map_err(|_| UnpackError)?
        };
        self.remember(&piece);
        Ok(piece)
    }
}
