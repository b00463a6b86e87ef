//! Reading the pages of the product's own store.

use bendhinge_gateway::dialect::StoreDialect;
use bendhinge_gateway::native::Native;

/// Guards against a page that was cut, as it may be if it ends with its connection, and passes for a shorter one.
#[test]
fn cut_pages_are_errors() {
    const PAGE: &str = r#"{"at":7,"rules":{"revision":3,"document":"[rules]\nversion = 1\n"},"upstreams":[{"name":"a"},{"name":"b"}],"drained":["x"]}"#;
    assert!(Native.parse_page(PAGE.as_bytes(), None).is_ok());
    for length in 0..PAGE.len() {
        let cut = &PAGE.as_bytes()[..length];
        assert!(Native.parse_page(cut, None).is_err(), "{length} bytes");
        assert!(Native.parse_changes(cut).is_err(), "{length} bytes");
    }
}
