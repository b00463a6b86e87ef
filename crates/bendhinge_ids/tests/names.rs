//! Tests which strings are names.

use bendhinge_ids::{BoxName, CustomerName, DataCentreName, NameError, PoolName, RegionName, UpstreamName};

#[test]
fn names_that_operators_choose_are_free_text() {
    let long = "x".repeat(1_024);
    for text in ["a b", " a ", "a/b", "a\nb", "ვაკე", "😀", &long] {
        assert_eq!(text.parse::<CustomerName>().unwrap().as_str(), text);
        assert_eq!(text.parse::<PoolName>().unwrap().as_str(), text);
        assert_eq!(text.parse::<RegionName>().unwrap().as_str(), text);
        assert_eq!(text.parse::<DataCentreName>().unwrap().as_str(), text);
    }
    assert_eq!("".parse::<PoolName>(), Err(NameError::Empty));
    assert_eq!("x".repeat(1_025).parse::<PoolName>(), Err(NameError::TooLong(1_025)));
}

#[test]
fn identifiers_have_a_syntax() {
    assert!("front-sala_1.a".parse::<BoxName>().is_ok());
    for text in ["", "a b", "a/b", "ü", &"x".repeat(65)] {
        assert_eq!(text.parse::<UpstreamName>(), Err(NameError::NotAnIdentifier(text.to_owned())));
    }
}
