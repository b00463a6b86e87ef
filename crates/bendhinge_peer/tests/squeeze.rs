//! What is packed is unpacked as it was, piece after piece.

use arbtest::arbtest;
use bendhinge_peer::Squeeze;

const LARGEST: usize = 4 << 10;

#[test]
fn pieces_come_out_as_they_went_in() {
    arbtest(|u| {
        let (mut sender, mut receiver) = (Squeeze::default(), Squeeze::default());
        for _ in 0..u.int_in_range(0..=20)? {
            let mut piece: Vec<u8> = u.arbitrary()?;
            piece.truncate(LARGEST);
            // Some pieces that compress, some that do not.
            if u.arbitrary()? {
                piece = piece.iter().flat_map(|byte| [*byte; 9]).take(LARGEST).collect();
            }
            let packed = sender.pack(&piece);
            assert!(packed.len() <= piece.len() + 1);
            assert_eq!(receiver.unpack(&packed, LARGEST).unwrap(), piece);
        }
        Ok(())
    });
}

/// Whatever arrives, unpacking neither panics nor gives more than it may.
#[test]
fn garbage_is_refused() {
    arbtest(|u| {
        let mut receiver = Squeeze::default();
        for _ in 0..u.int_in_range(0..=5)? {
            let garbage: Vec<u8> = u.arbitrary()?;
            if let Ok(piece) = receiver.unpack(&garbage, LARGEST) {
                assert!(piece.len() <= LARGEST.max(garbage.len()));
            }
        }
        Ok(())
    });
}

/// The second of two like messages costs a fraction.
#[test]
fn like_messages_become_small() {
    let mut sender = Squeeze::default();
    let message: Vec<u8> = (0..400_u32).map(|number| (number * number % 251) as u8).collect();
    let first = sender.pack(&message).len();
    let second = sender.pack(&message).len();
    assert!(second * 5 < first, "{second} after {first}");
}
