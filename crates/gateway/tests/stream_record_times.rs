//! What each stream costs while several versions serve, in a large deployment.

mod support;

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ryerouter_core::identity::{NodeName, ZoneName};
use ryerouter_gateway::continuation::Taken;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::Datagram;
use support::gateway_bench::{gateway_with, run};
use support::signalling::settings_of;
use support::versioned_nodes::{Attempt, VersionedNodes};
use tokio::time::sleep;

/// Size of the largest deployment to design for.
const LARGE_FLEET: u16 = 985;
/// Streams that are begun one after the other.
const STREAMS: usize = 200;
/// Nodes that have run so long take both versions for settled.
const SETTLED: Duration = Duration::from_millis(2_500);
/// How much later first events may come.
const MAX_DELAY: Duration = Duration::from_millis(2);
/// Bytes that nodes tell each other of one stream: three records and a confirmation.
const MAX_STREAM_BYTES: usize = 300;

/// The node hears all others, none of which takes any datagram.
fn introduce_others(gateway: &Gateway, count: u16, round: u64) {
    let mut message = gateway_with(settings_of(1)).peer_message(true);
    for number in 1..=count {
        let [high, low] = number.to_be_bytes();
        let address = SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 9));
        message.from.name = NodeName::new(format!("other-{number}"));
        message.from.zone = ZoneName::new(format!("zone-{}", number % 3));
        message.from.incarnation = u64::from(number);
        message.from.peer_address = address;
        message.sequence = round;
        gateway.receive_peer_message(message.clone());
    }
}

/// Time to the first event of a stream, where the machine is not busy with others: that of the fastest tenth.
async fn first_event_time(versions: &[&str]) -> Duration {
    let nodes = VersionedNodes::start(1, versions).await;
    let node = nodes.node(0);
    introduce_others(&node.bench.gateway, LARGE_FLEET - 1, 1);
    sleep(SETTLED).await;
    let mut times = Vec::new();
    for number in 0..STREAMS {
        if number % 50 == 0 {
            introduce_others(&node.bench.gateway, LARGE_FLEET - 1, 2 + number as u64);
        }
        let mut stream = nodes.new_stream();
        let begun_at = Instant::now();
        assert_eq!(stream.read(&node, 1).await, Attempt::Cut);
        times.push(begun_at.elapsed());
    }
    times.sort_unstable();
    println!(
        "{} versions: {:?} to {:?}, half of them within {:?}",
        versions.len(),
        times[0],
        times[STREAMS - 1],
        times[STREAMS / 2]
    );
    times[STREAMS / 10]
}

#[test]
fn first_events_are_late_while_several_versions_serve() {
    run(async {
        let one = first_event_time(&["v1"]).await;
        let two = first_event_time(&["v1", "v1.2"]).await;
        let delay = two.saturating_sub(one);
        println!("{one:?} with one version, {two:?} with two");
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

/// Each holder gets one datagram, and the writer among them confirms it.
#[test]
fn records_of_a_stream_take_many_bytes() {
    run(async {
        for others in [29, LARGE_FLEET - 1] {
            let nodes = VersionedNodes::start(1, &["v1", "v1.2"]).await;
            let node = nodes.node(0);
            let gateway = &node.bench.gateway;
            introduce_others(gateway, others, 1);
            sleep(SETTLED).await;
            introduce_others(gateway, others, 2);
            let sent = Rc::new(Cell::new(0));
            let (sum, count) = (Rc::clone(&sent), STREAMS / 10);
            gateway.attach_peer_link(Box::new(move |gateway, datagram, receivers| {
                let Datagram::StreamRecords(records) = datagram else {
                    return;
                };
                let taken = Taken {
                    streams: records.streams.clone(),
                };
                for receiver in receivers {
                    sum.set(sum.get() + bytes_of(datagram));
                    if records.is_to_be_stored {
                        let confirmation = Datagram::StreamsTaken(taken.clone());
                        sum.set(sum.get() + bytes_of(&confirmation));
                        gateway.apply_streams_taken(&taken, *receiver);
                    }
                }
            }));
            for _ in 0..count {
                let mut stream = nodes.new_stream();
                assert_eq!(stream.read(&node, 1).await, Attempt::Cut);
            }
            let mean = sent.get() / count;
            println!("{mean} bytes for each stream with {others} other nodes");
            assert!(mean > 0 && mean <= MAX_STREAM_BYTES, "{mean}");
        }
    });
}

fn bytes_of(datagram: &Datagram) -> usize {
    serde_json::to_vec(datagram).expect("serializable").len()
}
