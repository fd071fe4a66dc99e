//! Parsing of ids, sizes and names. Guards against a text that is parsed as another value.

use proptest::prelude::*;
use siskinbend_types::ByteSize;
use siskinbend_types::Organisation;
use siskinbend_types::RequestId;

proptest! {
    #[test]
    fn sizes_round_trip(bytes in 0u64..u64::MAX / 2) {
        let size = ByteSize(bytes);
        prop_assert_eq!(size.to_string().parse::<ByteSize>(), Ok(size));
    }

    #[test]
    fn ids_round_trip(raw: u128) {
        let id = RequestId(raw);
        prop_assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
    }

    #[test]
    fn parsers_never_panic(text: String) {
        let _ = text.parse::<ByteSize>();
        let _ = text.parse::<RequestId>();
        let _ = text.parse::<Organisation>();
    }
}

#[test]
fn names_reject_separators() {
    // A name with a slash could address a row of another organisation.
    assert!("a/b".parse::<Organisation>().is_err());
    assert!("".parse::<Organisation>().is_err());
    assert!("ibadan-growers".parse::<Organisation>().is_ok());
}
