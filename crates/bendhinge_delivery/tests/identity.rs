//! Request identity digests.

use bendhinge_delivery::{IdentityKey, RequestIdentity};
use bendhinge_ids::PoolName;

const KEY: IdentityKey = IdentityKey([7; 32]);

const REQUEST: RequestIdentity<'static> =
    RequestIdentity { customer: "one", method: "POST", target: "/minutes/7?full=1", body: b"summarise" };

#[test]
fn equal_requests_have_equal_digests() {
    assert_eq!(REQUEST.digest(&KEY), REQUEST.digest(&IdentityKey([7; 32])));
}

#[test]
fn any_differing_field_changes_the_digest() {
    let others = [
        RequestIdentity { customer: "two", ..REQUEST },
        RequestIdentity { method: "PUT", ..REQUEST },
        RequestIdentity { target: "/minutes/7?full=0", ..REQUEST },
        RequestIdentity { body: b"summarize", ..REQUEST },
        // Moving bytes from one field to the next changes the digest.
        RequestIdentity { customer: "oneP", method: "OST", ..REQUEST },
    ];
    for other in others {
        assert_ne!(other.digest(&KEY), REQUEST.digest(&KEY), "{other:?}");
    }
}

#[test]
fn hint_depends_on_body_length_but_not_content() {
    assert_eq!(REQUEST.digest(&KEY).hint(), REQUEST.hint(&KEY));
    let same_length = RequestIdentity { body: b"summarize", ..REQUEST };
    assert_eq!(same_length.hint(&KEY), REQUEST.hint(&KEY));
    let longer = RequestIdentity { body: b"summarise all", ..REQUEST };
    assert_ne!(longer.hint(&KEY), REQUEST.hint(&KEY));
    assert_ne!(RequestIdentity { customer: "two", ..REQUEST }.hint(&KEY), REQUEST.hint(&KEY));
    assert_ne!(REQUEST.hint(&IdentityKey([8; 32])), REQUEST.hint(&KEY));
}

#[test]
fn digest_depends_on_the_key() {
    assert_ne!(REQUEST.digest(&KEY), REQUEST.digest(&IdentityKey([8; 32])));
}

#[test]
fn digests_of_prompt_parts_depend_on_pool_part_and_key() {
    let (pool, other): (PoolName, PoolName) = ("one".parse().unwrap(), "two".parse().unwrap());
    let digest = KEY.part_digest(&pool, 7);
    assert_eq!(digest, IdentityKey([7; 32]).part_digest(&pool, 7));
    assert_ne!(digest, KEY.part_digest(&pool, 8));
    assert_ne!(digest, KEY.part_digest(&other, 7));
    assert_ne!(digest, IdentityKey([8; 32]).part_digest(&pool, 7));
    assert_eq!(digest.to_string().parse(), Ok(digest));
}
