//! Operators who try and promote the next document; two race for each promotion.

use std::sync::Arc;

use siskinbend_control::promotion::Action;
use siskinbend_control::promotion::Author;
use siskinbend_control::promotion::Event;
use siskinbend_control::promotion::Promotion;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Request;
use siskinbend_control::table::TransactionId;
use siskinbend_document::Document;
use siskinbend_types::Version;

/// An operator at work on one change.
pub(crate) struct Operator {
    machine: Promotion,
    /// Id of its transaction.
    pub(crate) id: TransactionId,
    pub(crate) text: Arc<str>,
    /// Whether it writes the trial environment, so that promotions follow.
    pub(crate) trial: bool,
    pub(crate) ending: Option<PromotionOutcome>,
}

fn author(id: u128) -> Author {
    Author {
        id: TransactionId::from_random(id),
        who: "operator".into(),
        when: "simulated".into(),
    }
}

impl Operator {
    /// Starts to try a text.
    ///
    /// # Panics
    ///
    /// Panics if the text has findings.
    pub(crate) fn try_text(text: Arc<str>, replaces: Version, id: u128) -> (Self, Action) {
        let request = Request::for_trial(text.clone(), replaces)
            .unwrap_or_else(|findings| panic!("the sample document is faulty: {findings}"));
        Self::start(request, text, true, id)
    }

    /// Starts to promote a text that was tried.
    pub(crate) fn promote(text: Arc<str>, replaces: Version, id: u128) -> (Self, Action) {
        let digest = Document::digest(&text);
        let request = Request::Promote { replaces, digest };
        Self::start(request, text, false, id)
    }

    fn start(request: Request, text: Arc<str>, trial: bool, id: u128) -> (Self, Action) {
        let author = author(id);
        let id = author.id.clone();
        let (machine, action) = Promotion::start(author, request, Version(0));
        let operator = Self {
            machine,
            id,
            text,
            trial,
            ending: None,
        };
        (operator, action)
    }

    /// Takes the result of the last action and returns the next one, `None` at the end.
    pub(crate) fn handle(&mut self, event: Event) -> Option<Action> {
        match self.machine.handle(event) {
            Action::Finish(ending) => {
                self.ending = Some(ending);
                None
            }
            action => Some(action),
        }
    }
}
