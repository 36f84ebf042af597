//! Steps of the control state at several sizes: taking a change, working out leaving back ends,
//! checkpoints, membership tables and gossip.

use std::hint::black_box;
use std::sync::Arc;

use divan::Bencher;
use divan::counter::BytesCount;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind};
use ryerouter_core::config::{
    Change, Checkpoint, ConfigReplica, Expectation, LogEntry, Mutation, Resource, validate,
};
use ryerouter_core::identity::{ConfigVersion, Incarnation, ResourceVersion};
use ryerouter_core::lifecycle::LeavingRegister;
use ryerouter_core::membership::{MemberRecord, MemberState, MembershipTable, NodeLocation};

const ENGINES: [usize; 4] = [688, 1_375, 2_750, 5_500];
const NODES: [usize; 4] = [85, 170, 340, 680];
const ZONES: usize = 11;

fn main() {
    divan::main();
}

fn engine(index: usize, state: BackEndState) -> BackEnd {
    BackEnd {
        name: format!("engine-{index:05}").as_str().into(),
        pool: "pool".into(),
        address: ([10, 8, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        data_centre: "dc".into(),
        zone: format!("zone-{}", index % ZONES).as_str().into(),
        state,
        version: ResourceVersion(1),
    }
}

fn checkpoint(engines: usize) -> Checkpoint {
    let mut catalog = Catalog {
        version: ConfigVersion(1),
        ..Catalog::default()
    };
    let pool = Pool {
        name: "pool".into(),
        kind: PoolKind::Service,
        kv_store: None,
        version: ResourceVersion(1),
    };
    catalog.pools.insert(pool.name.clone(), pool);
    for index in 0..engines {
        let engine = engine(index, BackEndState::Active);
        catalog.back_ends.insert(engine.name.clone(), engine);
    }
    Checkpoint {
        catalog,
        recent: Vec::new(),
    }
}

fn replica(engines: usize) -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    replica.adopt(&checkpoint(engines));
    replica
}

fn drain() -> Change {
    Change {
        change_id: "change".into(),
        author: "operator".to_owned(),
        mutations: vec![Mutation::Put {
            resource: Resource::BackEnd(engine(7, BackEndState::Draining)),
            expected: Expectation::Any,
        }],
    }
}

/// A change comes into force while traffic threads still hold the catalog before it.
#[divan::bench(args = ENGINES)]
fn append_entry(bencher: Bencher, engines: usize) {
    let replica = replica(engines);
    let entry = Arc::new(LogEntry {
        version: ConfigVersion(2),
        written_at: Timestamp::ZERO,
        change: drain(),
    });
    bencher
        .with_inputs(|| replica.clone())
        .bench_values(|mut replica| {
            replica.append(&entry);
            replica
        });
}

#[divan::bench(args = ENGINES)]
fn validate_change(bencher: Bencher, engines: usize) {
    let replica = replica(engines);
    let change = drain();
    bencher.bench(|| validate(black_box(&replica), &change, Timestamp::ZERO));
}

#[divan::bench(args = ENGINES)]
fn leaving_back_ends(bencher: Bencher, engines: usize) {
    let catalog = checkpoint(engines).catalog;
    let register = LeavingRegister::default();
    bencher.bench(|| register.leaving(black_box(&catalog)));
}

#[divan::bench(args = ENGINES)]
fn encode_checkpoint(bencher: Bencher, engines: usize) {
    let checkpoint = checkpoint(engines);
    let length = serde_json::to_vec(&checkpoint).expect("encodes").len();
    bencher
        .counter(BytesCount::new(length))
        .bench(|| serde_json::to_vec(black_box(&checkpoint)));
}

#[divan::bench(args = ENGINES)]
fn decode_checkpoint(bencher: Bencher, engines: usize) {
    let line = serde_json::to_vec(&checkpoint(engines)).expect("encodes");
    bencher
        .counter(BytesCount::new(line.len()))
        .bench(|| serde_json::from_slice::<Checkpoint>(black_box(&line)));
}

fn member(index: usize) -> MemberRecord {
    MemberRecord {
        name: format!("router-{index:04}").as_str().into(),
        incarnation: Incarnation(1_000),
        state: MemberState::Alive,
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into(),
        location: NodeLocation {
            region: "region".into(),
            data_centre: "dc".into(),
            zone: format!("zone-{}", index % ZONES).as_str().into(),
        },
    }
}

fn table(nodes: usize) -> MembershipTable {
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut table = MembershipTable::new(member(0).location, random);
    for index in 1..nodes {
        table.merge(member(index), Timestamp::ZERO);
    }
    table
}

#[divan::bench(args = NODES)]
fn merge_known_member(bencher: Bencher, nodes: usize) {
    let mut table = table(nodes);
    let record = member(nodes / 2);
    bencher.bench_local(|| table.merge(black_box(record.clone()), Timestamp::ZERO));
}

#[divan::bench(args = NODES)]
fn digest_of_table(bencher: Bencher, nodes: usize) {
    let table = table(nodes);
    let own = member(0);
    bencher.bench_local(|| table.digest(black_box(&own)));
}
