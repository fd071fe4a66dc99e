//! History of the maps that an agent has relayed, so that a new map can be sent as a difference.

use std::collections::VecDeque;

use siskinbend_site::engine::Order;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::Task;

use crate::peer::MapChange;
use crate::peer::RelayedOrder;

/// Maximum number of maps kept: the active one, and those of switches that were not completed.
const MAX_MAPS: usize = 4;

/// Latest maps with their versions, newest first.
#[derive(Debug, Default)]
pub(super) struct MapHistory {
    maps: VecDeque<(u64, Vec<Placement>)>,
}

impl MapHistory {
    /// Restores the complete order; `None` if the map that it is based on is not in the history.
    pub fn resolve(&mut self, relayed: RelayedOrder) -> Option<Order> {
        let order = match relayed {
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
            self.insert(*version, map);
        }
        Some(order)
    }

    fn find(&self, version: u64) -> Option<&Vec<Placement>> {
        self.maps
            .iter()
            .find(|(v, _)| *v == version)
            .map(|(_, m)| m)
    }

    fn insert(&mut self, version: u64, map: &[Placement]) {
        if self.find(version).is_none() {
            self.maps.push_front((version, map.to_vec()));
            self.maps.truncate(MAX_MAPS);
        }
    }
}

/// Encodes an order to prepare a map as the difference from the active map; `None` for other
/// orders.
pub(super) fn encode_change(
    order: &Order,
    base: u64,
    active: &[Placement],
) -> Option<RelayedOrder> {
    let Task::Prepare { version, map } = &order.task else {
        return None;
    };
    let mut changes = Vec::new();
    for (set, (new, old)) in map.iter().zip(active).enumerate() {
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
