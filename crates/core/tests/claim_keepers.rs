//! Choice of keepers: founding, spread over zones, replacement and settling.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::claim::{
    ClaimMessage, ClaimRoster, EpochConfirmation, KeeperPlanner, KeeperPlannerAction,
    KeeperPlannerEvent, KeeperPlannerSettings,
};
use ryerouter_core::identity::{NodeName, ZoneName};
use yare::parameterized;

const START: Timestamp = Timestamp::from_millis(1_000_000);

struct Bench {
    planner: KeeperPlanner,
    alive: BTreeMap<NodeName, ZoneName>,
    gone: BTreeSet<NodeName>,
    roster: ClaimRoster,
    now: Timestamp,
}

impl Bench {
    fn new(nodes: usize, zones: usize) -> Self {
        let alive = (0..nodes)
            .map(|node| (name(node), ZoneName::new(format!("zone-{}", node % zones))))
            .collect();
        Self {
            planner: KeeperPlanner::new(KeeperPlannerSettings::default()),
            alive,
            gone: BTreeSet::new(),
            roster: ClaimRoster::default(),
            now: START,
        }
    }

    /// Shows members once a second for `seconds`; proposals take effect.
    fn run(&mut self, seconds: u64) -> Vec<(NodeName, EpochConfirmation)> {
        let mut questions = Vec::new();
        for _ in 0..seconds {
            self.now = self.now.after(Duration::from_secs(1));
            let event = KeeperPlannerEvent::MembersSeen {
                alive: self.alive.clone(),
                gone: self.gone.clone(),
            };
            let mut actions = Vec::new();
            self.planner.handle(event, self.now, &mut actions);
            for action in actions {
                match action {
                    KeeperPlannerAction::Propose(roster) => self.accept(roster),
                    KeeperPlannerAction::Send(send) => {
                        if let ClaimMessage::ConfirmEpoch(asked) = send.message {
                            questions.push((send.to, asked));
                        }
                    }
                }
            }
        }
        questions
    }

    fn accept(&mut self, roster: ClaimRoster) {
        self.roster = roster.clone();
        let event = KeeperPlannerEvent::RosterChanged(roster);
        self.planner.handle(event, self.now, &mut Vec::new());
    }

    fn confirm(&mut self, from: NodeName, confirmation: EpochConfirmation) {
        let event = KeeperPlannerEvent::Confirmed { from, confirmation };
        self.planner.handle(event, self.now, &mut Vec::new());
    }
}

fn name(node: usize) -> NodeName {
    NodeName::new(format!("node-{node:03}"))
}

#[parameterized(
    one_node = { 1, 1, 1, 1 },
    three_nodes = { 3, 3, 1, 3 },
    eleven_zones = { 680, 11, 128, 5 },
)]
fn first_roster_fits_the_deployment(nodes: usize, zones: usize, groups: usize, size: usize) {
    let mut bench = Bench::new(nodes, zones);
    bench.run(4);
    assert_eq!(bench.roster.groups.len(), groups);
    for group in &bench.roster.groups {
        assert_eq!(group.keepers.len(), size);
        let in_zones: BTreeSet<_> = group
            .keepers
            .iter()
            .map(|name| &bench.alive[name])
            .collect();
        assert_eq!(in_zones.len(), size.min(zones));
    }
}

#[test]
fn first_roster_waits_for_nodes_that_join() {
    let mut bench = Bench::new(5, 5);
    let late = bench.alive.split_off(&name(3));
    bench.run(2);
    bench.alive.extend(late);
    bench.run(4);
    assert_eq!(bench.roster.groups[0].keepers.len(), 5);
}

#[test]
fn absent_keeper_is_replaced_and_settled_only_after_a_majority_confirmed() {
    let mut bench = Bench::new(8, 4);
    bench.run(4);
    let old = bench.roster.groups[0].clone();
    bench.alive.remove(&old.keepers[0]);
    let questions = bench.run(70);
    let changed = bench.roster.groups[0].clone();
    assert_eq!(changed.epoch, old.epoch + 1);
    assert_eq!(changed.previous, old.keepers);
    assert!(!changed.keepers.contains(&old.keepers[0]));
    let (_, asked) = questions[0].clone();
    for keeper in &old.keepers[1..3] {
        bench.confirm(keeper.clone(), asked);
        bench.run(20);
        assert!(!bench.roster.groups[0].previous.is_empty());
    }
    bench.confirm(old.keepers[3].clone(), asked);
    bench.run(20);
    assert!(bench.roster.groups[0].previous.is_empty());
}

#[parameterized(
    unreachable = { false },
    machines_gone = { true },
)]
fn lost_majority_is_founded_anew_only_when_its_machines_are_gone(machines_gone: bool) {
    let mut bench = Bench::new(12, 4);
    bench.run(4);
    let old = bench.roster.groups[0].clone();
    for keeper in &old.keepers[..3] {
        bench.alive.remove(keeper);
        if machines_gone {
            bench.gone.insert(keeper.clone());
        }
    }
    bench.run(700);
    let group = &bench.roster.groups[0];
    assert_eq!(group.epoch > old.epoch, machines_gone);
    assert!(group.keepers.len() >= old.keepers.len());
}
