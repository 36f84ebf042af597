//! Back ends.

use std::net::{Ipv4Addr, SocketAddr};

use ryerouter_core::catalog::{BackEnd, BackEndState};
use ryerouter_core::identity::{BackEndName, DataCentreName, PoolName, ResourceVersion, ZoneName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&BackEnd> for v1::BackEnd {
    fn from(back_end: &BackEnd) -> Self {
        Self {
            name: back_end.name.to_string(),
            pool: back_end.pool.to_string(),
            address: back_end.address.to_string(),
            data_centre: back_end.data_centre.to_string(),
            zone: back_end.zone.to_string(),
            state: v1::BackEndState::from(back_end.state).into(),
            version: back_end.version.0,
        }
    }
}

impl TryFrom<v1::BackEnd> for BackEnd {
    type Error = InvalidMessage;

    fn try_from(message: v1::BackEnd) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        faults.check_name("back_end.name", &message.name);
        faults.check_name("back_end.pool", &message.pool);
        faults.check_name("back_end.data_centre", &message.data_centre);
        faults.check_name("back_end.zone", &message.zone);
        let address = faults.parse_address("back_end.address", &message.address);
        let state = parse_state(message.state, &mut faults);
        faults.finish(Self {
            name: BackEndName::new(message.name),
            pool: PoolName::new(message.pool),
            address: address.unwrap_or(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))),
            data_centre: DataCentreName::new(message.data_centre),
            zone: ZoneName::new(message.zone),
            state,
            version: ResourceVersion(message.version),
        })
    }
}

fn parse_state(number: i32, faults: &mut FaultList) -> BackEndState {
    match v1::BackEndState::try_from(number) {
        Ok(v1::BackEndState::Unspecified | v1::BackEndState::Active) => BackEndState::Active,
        Ok(v1::BackEndState::Draining) => BackEndState::Draining,
        Err(_) => {
            faults.add("back_end.state", number, "expected active or draining");
            BackEndState::Active
        }
    }
}

impl From<BackEndState> for v1::BackEndState {
    fn from(state: BackEndState) -> Self {
        match state {
            BackEndState::Active => Self::Active,
            BackEndState::Draining => Self::Draining,
        }
    }
}
