//! Maps that an agent has passed on, so that the next one can be told by its difference.

use std::collections::VecDeque;

use siskinbend_site::engine::Order;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::Task;

use crate::peer::MapChange;
use crate::peer::RelayedOrder;

/// Maps that are kept: the one in force, and those of switches that did not come about.
const KEPT: usize = 4;

/// The newest maps by their versions.
#[derive(Debug, Default)]
pub(super) struct Maps {
    kept: VecDeque<(u64, Vec<Placement>)>,
}

impl Maps {
    /// The order that was meant, `None` if the map that it is based on isn't known.
    pub fn expand(&mut self, passed: RelayedOrder) -> Option<Order> {
        let order = match passed {
            RelayedOrder::Whole(order) => order,
            RelayedOrder::Change {
                base,
                version,
                epoch,
                changes,
            } => {
                let mut map = self.find(base)?.clone();
                for change in changes {
                    let set = map.get_mut(usize::from(change.set))?;
                    *set.get_mut(usize::from(change.rank))? = change.experts;
                }
                let task = Task::Prepare { version, map };
                Order { task, epoch }
            }
        };
        if let Task::Prepare { version, map } = &order.task {
            self.keep(*version, map);
        }
        Some(order)
    }

    fn find(&self, version: u64) -> Option<&Vec<Placement>> {
        self.kept
            .iter()
            .find(|(v, _)| *v == version)
            .map(|(_, m)| m)
    }

    fn keep(&mut self, version: u64, map: &[Placement]) {
        if self.find(version).is_none() {
            self.kept.push_front((version, map.to_vec()));
            self.kept.truncate(KEPT);
        }
    }
}

/// The order by its difference from the map in force, if it is one to prepare a map.
pub(super) fn shorten(order: &Order, base: u64, present: &[Placement]) -> Option<RelayedOrder> {
    let Task::Prepare { version, map } = &order.task else {
        return None;
    };
    let mut changes = Vec::new();
    for (set, (new, old)) in map.iter().zip(present).enumerate() {
        for (rank, (new, old)) in new.iter().zip(old).enumerate() {
            if new != old {
                changes.push(MapChange {
                    set: u16::try_from(set).ok()?,
                    rank: u16::try_from(rank).ok()?,
                    experts: new.clone(),
                });
            }
        }
    }
    Some(RelayedOrder::Change {
        base,
        version: *version,
        epoch: order.epoch,
        changes,
    })
}
