//! Which nodes callers are told to use.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::ZoneName;
use ryerouter_gateway::gateway::Gateway;
use support::fleet::node;
use support::gateway_bench::{configure, gateway_with, list_engines, run_paused, settings};
use support::records::{ZONE, table};
use yare::parameterized;

/// A node with a short bound of proofs, and another one of its zone.
fn node_with_short_bound() -> (Rc<Gateway>, Rc<Gateway>) {
    let mut own = settings("node-00");
    own.identity.caller_address = "127.0.0.1:9000".parse().unwrap();
    own.max_unconfirmed_age = Some(Duration::from_millis(4_000));
    let gateway = gateway_with(own);
    configure(&gateway, table(1, Vec::new()));
    list_engines(&gateway, Vec::new());
    let other = node(1);
    gateway.receive_peer_message(other.peer_message(true));
    (gateway, other)
}

fn named_by(gateway: &Gateway) -> usize {
    gateway.addresses_near(&ZoneName::new(ZONE), 8).len()
}

#[test]
fn node_that_is_cut_off_names_no_addresses_to_callers() {
    run_paused(async {
        let (gateway, _) = node_with_short_bound();
        assert_eq!(named_by(&gateway), 2);
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        // The other is silent, but the source answered lately: this node may be all that is left.
        assert!(!gateway.is_isolated());
        assert_eq!(named_by(&gateway), 1);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(gateway.is_isolated());
        assert_eq!(named_by(&gateway), 0);
    });
}

#[parameterized(
    another_node_is_heard = { true },
    the_source_answers = { false },
)]
fn node_that_hears_again_names_addresses_again(is_peer: bool) {
    run_paused(async move {
        let (gateway, other) = node_with_short_bound();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(named_by(&gateway), 0);
        match is_peer {
            true => gateway.receive_peer_message(other.peer_message(true)),
            false => configure(&gateway, table(2, Vec::new())),
        }
        assert!(!gateway.is_isolated());
        assert!(named_by(&gateway) > 0);
    });
}

#[test]
fn node_whose_keys_are_not_proven_is_not_ready_and_names_the_others() {
    run_paused(async {
        let (gateway, other) = node_with_short_bound();
        configure(&gateway, table(2, Vec::new()));
        assert!(gateway.is_ready());
        tokio::time::sleep(Duration::from_millis(4_100)).await;
        gateway.receive_peer_message(other.peer_message(true));
        assert!(!gateway.is_ready());
        let named = gateway.addresses_near(&ZoneName::new(ZONE), 8);
        assert_eq!(named, [other.settings().identity.caller_address]);
    });
}
