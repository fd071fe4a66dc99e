//! The policy that makes the changes that pay for themselves.

use crate::explanation::Explanation;
use crate::policy::Decision;
use crate::policy::Kind;
use crate::policy::Policy;
use crate::policy::Price;
use crate::policy::View;

/// Makes the changes that pay for themselves at a price.
pub(crate) struct Priced {
    price: Price,
}

impl Priced {
    pub fn new(price: Price) -> Priced {
        Priced { price }
    }
}

impl Policy for Priced {
    fn name(&self) -> &'static str {
        Kind::Priced.as_str()
    }

    fn decide(&mut self, _view: &View<'_>) -> Decision {
        let _ = self.price;
        Decision {
            change: None,
            explanations: vec![Explanation::NoCounts],
        }
    }
}
