//! The dispatcher.

use crate::identity::{DataCentreName, ZoneName};
use crate::timestamp::Timestamp;

use super::{DispatchAction, DispatchEvent};

/// Decides for every request of one router process which back end serves it, and when.
#[derive(Debug)]
pub struct Dispatcher {
    _data_centre: DataCentreName,
    _zone: ZoneName,
    _seed: u64,
}

impl Dispatcher {
    /// A dispatcher of a process in `zone` of `data_centre`; `seed` makes its choices and attempt
    /// numbers its own.
    pub fn new(data_centre: DataCentreName, zone: ZoneName, seed: u64) -> Self {
        Self {
            _data_centre: data_centre,
            _zone: zone,
            _seed: seed,
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        _event: DispatchEvent,
        _now: Timestamp,
        _actions: &mut Vec<DispatchAction>,
    ) {
    }
}
