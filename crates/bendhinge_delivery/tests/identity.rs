//! Which requests count as the same.

use bendhinge_delivery::{IdentityKey, RequestIdentity};

const KEY: IdentityKey = IdentityKey([7; 32]);

const REQUEST: RequestIdentity<'static> =
    RequestIdentity { customer: "one", method: "POST", target: "/minutes/7?full=1", body: b"summarise" };

#[test]
fn the_same_request_has_the_same_digest_wherever_it_comes() {
    assert_eq!(REQUEST.digest(&KEY), REQUEST.digest(&IdentityKey([7; 32])));
}

#[test]
fn whatever_differs_makes_another_request() {
    let others = [
        RequestIdentity { customer: "two", ..REQUEST },
        RequestIdentity { method: "PUT", ..REQUEST },
        RequestIdentity { target: "/minutes/7?full=0", ..REQUEST },
        RequestIdentity { body: b"summarize", ..REQUEST },
        // What moves from one part to the next is not the same either.
        RequestIdentity { customer: "oneP", method: "OST", ..REQUEST },
    ];
    for other in others {
        assert_ne!(other.digest(&KEY), REQUEST.digest(&KEY), "{other:?}");
    }
}

#[test]
fn the_hint_is_a_part_of_the_digest_that_needs_no_look_at_the_body() {
    assert_eq!(REQUEST.digest(&KEY).hint(), REQUEST.hint(&KEY));
    let alike = RequestIdentity { body: b"summarize", ..REQUEST };
    assert_eq!(alike.hint(&KEY), REQUEST.hint(&KEY));
    let longer = RequestIdentity { body: b"summarise all", ..REQUEST };
    assert_ne!(longer.hint(&KEY), REQUEST.hint(&KEY));
    assert_ne!(RequestIdentity { customer: "two", ..REQUEST }.hint(&KEY), REQUEST.hint(&KEY));
    assert_ne!(REQUEST.hint(&IdentityKey([8; 32])), REQUEST.hint(&KEY));
}

#[test]
fn another_fleet_has_other_digests() {
    assert_ne!(REQUEST.digest(&KEY), REQUEST.digest(&IdentityKey([8; 32])));
}
