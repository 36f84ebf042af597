//! A pool whose software is released, seen by its director without delay.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{
    Budget, CountKey, Evidence, Fleet, Judgement, Order, PRESENT, Progress, Settings, Stage,
};

const TICK: Duration = Duration::from_millis(50);
/// Share of answers that are bad whatever the software.
pub const USUAL_BAD: f64 = 0.01;
/// What a grey engine adds to that.
const GREY_BAD: f64 = 0.4;
/// How many times as long slow answers take.
const SLOW_FACTOR: u64 = 3;
/// Requests that two engines drop when they crash.
const CRASH_LOSES: usize = 4;
const ROUTES: u32 = 3;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// A share of its answers is bad, from so many seconds on.
    Bad {
        share: f64,
        from_s: f64,
    },
    /// The same on one route only.
    BadRoute {
        share: f64,
    },
    /// The same while an engine has at least so many requests a second.
    BadUnderLoad {
        share: f64,
        per_second: f64,
    },
    /// A share of its answers is slow, from so many seconds on.
    Slow {
        share: f64,
        from_s: f64,
    },
}

/// What else happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// One engine of the target version fails by itself.
    GreyTarget,
    /// A tenth of the present version's engines does.
    GreyPresent,
    /// Two engines of the target version crash with what they run.
    Crashes,
    /// Answers of every engine are slow for a while, as on a busy machine or behind a slow link.
    Slowness(Slowness),
}

/// When answers are slow whatever the software, and what share of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    pub from_s: f64,
    pub for_s: f64,
    pub share: f64,
}

impl Slowness {
    fn is_on(&self, seconds: f64) -> bool {
        (self.from_s..self.from_s + self.for_s).contains(&seconds)
    }
}

pub struct Case {
    pub engines: usize,
    pub per_second: f64,
    pub nodes: usize,
    pub ramp_s: f64,
    pub fault: Fault,
    pub trouble: Trouble,
    /// Share of the answers on the last route that are bad whatever the software.
    pub bad_on_last_route: f64,
}

/// How a release went.
#[derive(Debug)]
#[expect(dead_code, reason = "what failed tests print")]
pub struct End {
    pub stage: Stage,
    pub after: Duration,
    /// Requests that reached the target version, and those that were allowed to.
    pub exposed: f64,
    pub allowed: f64,
    /// From the 50th bad answer to the end of the trial.
    pub after_fiftieth: Option<Duration>,
    pub why: Option<String>,
}

pub fn settings() -> Settings {
    Settings {
        exposure_share: 0.1,
        exposure_slack: 50.0,
        rollback_within: Duration::from_secs(5),
    }
}

pub fn order(ramp_s: f64) -> Order {
    Order {
        pool: PoolName::new("pool"),
        target: "v2".to_owned(),
        ramp: Duration::from_secs_f64(ramp_s),
        made: 1,
    }
}

struct Answer {
    at: Timestamp,
    cell: CountKey,
    judgement: Judgement,
}

/// Plays a release until it ends, or for ten ramps.
pub fn play(case: &Case, seed: u64) -> End {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut trial, mut evidence) = (
        Progress::new(order(case.ramp_s), settings(), Timestamp::ZERO),
        Evidence::default(),
    );
    let mut accounts = vec![Budget::default(); case.nodes];
    let mut pending: VecDeque<Answer> = VecDeque::new();
    let (mut all, mut exposed, mut bad) = (0_u64, 0_u64, 0_u64);
    let mut fiftieth_at = None;
    let mut now = Timestamp::ZERO;
    let deadline = Duration::from_secs_f64(case.ramp_s);
    while now.since(Timestamp::ZERO) < deadline * 10 && !trial.stage().is_final() {
        now = now.after(TICK);
        while pending.front().is_some_and(|answer| answer.at <= now) {
            let answer = pending.pop_front().expect("answer");
            evidence.note(answer.cell, answer.judgement);
            let is_bad = !answer.cell.is_present() && answer.judgement != Judgement::Good;
            bad += u64::from(is_bad);
            if bad == 50 {
                fiftieth_at.get_or_insert(now);
            }
        }
        let running = pending.iter().filter(|answer| answer.cell.is_present());
        let fleet = Fleet {
            present: case.engines,
            target: case.engines,
            running_at_present: running.count() as u32,
            has_silent_nodes: false,
            max_request_duration: Duration::from_secs(5),
        };
        trial.advance(&fleet, &evidence.total(), now);
        let grant = trial.grant(1, 1, 1, now);
        let arrivals = case.per_second * TICK.as_secs_f64();
        let arrivals = arrivals as u32 + u32::from(random.random_bool(arrivals.fract()));
        for _ in 0..arrivals {
            let route = random.random_range(1..=ROUTES);
            let budget = &mut accounts[random.random_range(0..case.nodes)];
            budget.count();
            all += u64::from(now.since(Timestamp::ZERO) < deadline);
            let is_bounded = grant.stage == Stage::Trial;
            let is_drawn = random.random_bool(grant.share);
            let to_target =
                is_drawn && (!is_bounded || budget.allows_request(&settings(), case.nodes));
            let engine = match to_target {
                false => PRESENT,
                true => {
                    budget.count_target();
                    exposed += 1;
                    let places: Vec<_> = (0..case.engines)
                        .filter(|place| {
                            grant
                                .window
                                .is_none_or(|window| window.contains(*place, case.engines))
                        })
                        .collect();
                    places[random.random_range(0..places.len())] as u32 + 1
                }
            };
            let part = match grant.window {
                Some(window) => grant.share / f64::from(window.count.max(1)),
                None => grant.share / case.engines as f64,
            };
            let rate = bad_rate(
                case,
                engine,
                route,
                part * case.per_second,
                now,
                &mut random,
            );
            let is_slow = is_slow(case, engine, now, &mut random);
            let judgement = match random.random_bool(rate) {
                true => Judgement::Failed,
                false if is_slow => Judgement::Slow,
                false => Judgement::Good,
            };
            let millis = random.random_range(20..400) * if is_slow { SLOW_FACTOR } else { 1 };
            let at = now.after(Duration::from_millis(millis));
            pending.push_back(Answer {
                at,
                cell: CountKey { route, engine },
                judgement,
            });
        }
        pending.make_contiguous().sort_by_key(|answer| answer.at);
        crash(case, &mut pending, now);
    }
    End {
        stage: trial.stage(),
        after: trial.elapsed(now),
        exposed: exposed as f64,
        allowed: all as f64 * settings().exposure_share + settings().exposure_slack,
        after_fiftieth: fiftieth_at.map(|at| now.since(at)),
        why: trial.rollback().map(ToString::to_string),
    }
}

fn is_slow(case: &Case, engine: u32, now: Timestamp, random: &mut ChaCha8Rng) -> bool {
    let seconds = now.since(Timestamp::ZERO).as_secs_f64();
    let by_version = match case.fault {
        Fault::Slow { share, from_s } if engine != PRESENT && seconds >= from_s => share,
        _ => 0.0,
    };
    let by_all = match case.trouble {
        Trouble::Slowness(slowness) if slowness.is_on(seconds) => slowness.share,
        _ => 0.0,
    };
    let share = 1.0 - (1.0 - by_version) * (1.0 - by_all);
    // Cases without slow answers draw nothing for them.
    share > 0.0 && random.random_bool(share)
}

fn bad_rate(
    case: &Case,
    engine: u32,
    route: u32,
    load: f64,
    now: Timestamp,
    random: &mut ChaCha8Rng,
) -> f64 {
    let is_target = engine != PRESENT;
    let seconds = now.since(Timestamp::ZERO).as_secs_f64();
    let by_version = match case.fault {
        Fault::Bad { share, from_s } if seconds >= from_s => share,
        Fault::BadRoute { share } if route == 1 => share,
        Fault::BadUnderLoad { share, per_second } if load >= per_second => share,
        _ => 0.0,
    };
    let grey = match case.trouble {
        Trouble::GreyTarget if engine == 1 => GREY_BAD,
        Trouble::GreyPresent if !is_target && random.random_bool(0.1) => GREY_BAD,
        _ => 0.0,
    };
    let version = if is_target { by_version } else { 0.0 };
    let usual = match route {
        ROUTES => case.bad_on_last_route,
        _ => USUAL_BAD,
    };
    (usual + grey + version).min(1.0)
}

/// Some requests of two engines are lost at once, a third of the ramp after the begin.
fn crash(case: &Case, pending: &mut VecDeque<Answer>, now: Timestamp) {
    let at = Duration::from_secs_f64(case.ramp_s / 3.0);
    let is_now = now.since(Timestamp::ZERO) >= at && now.before(TICK).since(Timestamp::ZERO) < at;
    if case.trouble != Trouble::Crashes || !is_now {
        return;
    }
    for crashed in [1, 2] {
        let theirs = pending
            .iter_mut()
            .filter(|answer| answer.cell.engine == crashed);
        for answer in theirs.take(CRASH_LOSES) {
            answer.judgement = Judgement::Failed;
        }
    }
}
