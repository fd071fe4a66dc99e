//! The platform in memory, and the operators who use it.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use siskinbend_control::limits::ANNOUNCE_DURATION;
use siskinbend_control::promotion::Action as OperatorAction;
use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::Event as OperatorEvent;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::VersionRecord;
use siskinbend_control::table::Cause;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::StoreError;
use siskinbend_control::version;
use siskinbend_control::version::Content;
use siskinbend_control::version::Context;
use siskinbend_control::version::Event;
use siskinbend_control::version::FetchError;
use siskinbend_control::version::Source;
use siskinbend_control::version::VersionTag;
use siskinbend_document::Document;
use siskinbend_types::Time;
use siskinbend_types::Version;

use super::FETCH_BYTES;
use super::Fleet;
use super::Happening;
use super::LOSS;
use super::TRANSFER_RATE;
use crate::documents::operator::Operator;
use crate::documents::sample::write_document;

/// Share of the operators' transactions whose answer is lost.
const LOST_ANSWERS: f64 = 0.2;
/// Latency of the platform's answers in microseconds.
const STORE_DELAY: Range<u64> = 2_000..20_000;
/// Time until a lost exchange with the platform counts as failed.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes on the wire of a poll.
const POLL_BYTES: u64 = 700;

impl Fleet {
    /// Starts the next change: the trial, then two operators who race to promote it.
    pub(crate) fn start_change(&mut self, change: u32) {
        let text: Arc<str> = write_document(self.organisations, change).into();
        self.report.document = text.len();
        self.start_trial(text);
    }

    fn version_of(&self, environment: Environment) -> Version {
        let row = self.table.read(&environment.key(), self.now);
        let entry = row.and_then(|row| VersionRecord::decode(&row.value));
        entry.map_or(Version(0), |entry| entry.tag.version)
    }

    fn add_operator(&mut self, operator: Operator, action: OperatorAction) {
        self.operators.push(operator);
        self.call_store(self.operators.len() - 1, action);
    }

    /// Time at which the answer of the store arrives, `None` if it can't be reached.
    fn store_answer(&mut self) -> Option<Time> {
        let lost = self.rng.random_bool(LOSS);
        let delay = Duration::from_micros(self.rng.random_range(STORE_DELAY));
        (!self.down && !lost).then(|| self.now + delay)
    }

    fn count_read(&mut self) {
        *self.reads.entry(self.now.0 / 1_000_000).or_default() += 1;
    }

    pub(super) fn poll(&mut self, node: usize) {
        let draw = self.rng.random();
        if !self.nodes[node].table.admit(self.now, draw) {
            return;
        }
        self.count_read();
        self.nodes[node].bytes += POLL_BYTES;
        let to = (node, self.nodes[node].run);
        let Some(at) = self.store_answer() else {
            self.nodes[node].table.record_failure(self.now, draw);
            return self.push(
                self.now + STORE_TIMEOUT,
                Happening::Reply(to, Event::Polled(None)),
            );
        };
        self.nodes[node].table.record_success();
        let row = self.table.read(&Environment::Production.key(), self.now);
        let entry = row.and_then(|row| VersionRecord::decode(&row.value));
        let event = Event::Polled(entry.map(|entry| entry.tag));
        self.push(at, Happening::Reply(to, event));
    }

    pub(super) fn fetch_object(&mut self, node: usize, tag: VersionTag) {
        let to = (node, self.nodes[node].run);
        let draw = self.rng.random();
        let failed = Event::Fetched(Source::ObjectStore, tag, Err(FetchError::Failed));
        if !self.nodes[node].objects.admit(self.now, draw) {
            return self.push(self.now, Happening::Reply(to, failed));
        }
        self.count_read();
        self.report.objects += 1;
        self.nodes[node].bytes += FETCH_BYTES;
        let Some(at) = self.store_answer() else {
            self.nodes[node].objects.record_failure(self.now, draw);
            return self.push(self.now + STORE_TIMEOUT, Happening::Reply(to, failed));
        };
        self.nodes[node].objects.record_success();
        let content = self.contents.get(&tag.digest).cloned();
        let bytes = content.as_ref().map_or(0, |text| text.len());
        self.nodes[node].bytes += bytes as u64;
        let transfer = Duration::from_secs_f64(bytes as f64 / TRANSFER_RATE);
        let event = Event::Fetched(Source::ObjectStore, tag, content.ok_or(FetchError::Missing));
        self.push(at + transfer, Happening::Reply(to, event));
    }

    /// Carries out an operator's action on the store.
    fn call_store(&mut self, operator: usize, action: OperatorAction) {
        let lost = self.rng.random_bool(LOST_ANSWERS);
        let answer = self.store_answer();
        let at = answer.unwrap_or(self.now + STORE_TIMEOUT);
        let unreachable = StoreError::NotApplied(Cause::Unreachable);
        let event = match action {
            OperatorAction::Put(digest, text) => OperatorEvent::Put(match answer {
                Some(_) => {
                    self.contents.insert(digest, text);
                    Ok(())
                }
                None => Err(unreachable),
            }),
            OperatorAction::Read(key) => {
                self.count_read();
                let row = self.table.read(&key, self.now).cloned();
                OperatorEvent::Read(answer.map(|_| row).ok_or(unreachable))
            }
            OperatorAction::Commit(commit) => {
                *self.writes.entry(self.now.0 / 1_000_000).or_default() += 1;
                let applied = (!self.down).then(|| self.table.commit(&commit, self.now));
                if let Some(CommitAnswer::Applied(_)) = applied {
                    self.note_commit();
                }
                OperatorEvent::Commit(match applied {
                    Some(applied) if !lost && answer.is_some() => Ok(applied),
                    _ => Err(StoreError::Ambiguous(Cause::Timeout)),
                })
            }
            OperatorAction::Finish(_) => return,
        };
        self.push(at, Happening::Operate(operator, event));
    }

    /// Notes the version that production has after a transaction.
    fn note_commit(&mut self) {
        let row = self.table.read(&Environment::Production.key(), self.now);
        let Some(tag) = row
            .and_then(|row| VersionRecord::decode(&row.value))
            .map(|e| e.tag)
        else {
            return;
        };
        if self.accepted.insert((tag.version, tag.digest)) {
            let lacking = (0..self.count).collect();
            self.open.push((tag.version, self.now, lacking));
        }
    }

    pub(super) fn operate(&mut self, index: usize, event: OperatorEvent) {
        if let Some(action) = self.operators[index].handle(event) {
            return self.call_store(index, action);
        }
        let operator = &self.operators[index];
        let (trial, text) = (operator.trial, operator.text.clone());
        match operator.ending.clone() {
            Some(PromotionOutcome::Accepted(_)) if trial => {
                self.start_promotion(text.clone());
                self.start_promotion(text);
            }
            Some(PromotionOutcome::Accepted(tag)) => {
                self.report.accepted += 1;
                self.announce(Content { tag, text });
            }
            Some(PromotionOutcome::Refused(_)) if !trial => self.report.refused += 1,
            _ if trial => self.start_trial(text),
            _ => self.find_out(index, text),
        }
    }

    /// Lets an operator who has no answer look at what is in force before trying again.
    fn find_out(&mut self, index: usize, text: Arc<str>) {
        let row = self
            .table
            .read(&Environment::Production.key(), self.now)
            .cloned();
        let entry = row
            .as_ref()
            .and_then(|row| VersionRecord::decode(&row.value));
        let tag = entry.map(|entry| entry.tag);
        match (tag, row) {
            (Some(tag), Some(row)) if tag.digest == Document::digest(&text) => {
                if row.writer == self.operators[index].id {
                    self.report.accepted += 1;
                    self.announce(Content { tag, text });
                } else {
                    self.report.refused += 1;
                }
            }
            _ => self.start_promotion(text),
        }
    }

    fn start_trial(&mut self, text: Arc<str>) {
        let replaces = self.version_of(Environment::Trial);
        let id = self.rng.random();
        let (operator, action) = Operator::try_text(text, replaces, id);
        self.add_operator(operator, action);
    }

    fn start_promotion(&mut self, text: Arc<str>) {
        let replaces = self.version_of(Environment::Production);
        let id = self.rng.random();
        let (operator, action) = Operator::promote(text, replaces, id);
        self.add_operator(operator, action);
    }

    /// Lets the operator's command tell a few processes, as a process of its own.
    fn announce(&mut self, content: Content) {
        if !self.variant.peers {
            return;
        }
        let node = self.add_node();
        let mut context = Context {
            now: self.now,
            fleet: version::Fleet {
                peers: &self.peers,
                nodes: self.count,
            },
            rng: &mut self.rng,
        };
        let actions = self.nodes[node].tracker.announce(content, &mut context);
        self.act(node, actions);
        self.push(self.now + ANNOUNCE_DURATION, Happening::Retire(node));
    }
}
