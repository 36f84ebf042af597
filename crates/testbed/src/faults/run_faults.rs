//! Making fault runs.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use super::{FaultsError, FaultsOptions, NamedRun, fault_plan};
use crate::simulation::{ClusterSettings, RunOutcome, simulate};

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// What came of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The run.
    pub run: NamedRun,
    /// Its seed.
    pub seed: u64,
    /// What came of it.
    pub outcome: RunOutcome,
}

/// Makes one run.
pub fn run_once(run: NamedRun, settings: &ClusterSettings) -> RunResult {
    let plan = fault_plan(run, settings);
    let outcome = simulate(settings.clone(), &plan);
    RunResult {
        run,
        seed: settings.seed,
        outcome,
    }
}

/// Makes all runs, several at once, and hands each result to `each` as it comes.
///
/// # Errors
///
/// An option is out of its range.
pub fn run_faults(
    options: &FaultsOptions,
    mut each: impl FnMut(&RunResult),
) -> Result<(), FaultsError> {
    check(options)?;
    let jobs: Vec<(NamedRun, ClusterSettings)> = jobs(options);
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..options.threads {
            let sender = sender.clone();
            let (next, jobs) = (&next, &jobs);
            scope.spawn(move || {
                while let Some((run, settings)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    // A closed channel means that nobody wants results any more.
                    let _ = sender.send(run_once(*run, settings));
                }
            });
        }
        drop(sender);
        for result in receiver {
            each(&result);
        }
    });
    Ok(())
}

fn jobs(options: &FaultsOptions) -> Vec<(NamedRun, ClusterSettings)> {
    let mut jobs = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        for run in &options.runs {
            let mut settings = ClusterSettings {
                seed,
                mutation: options.mutation,
                ..ClusterSettings::default()
            };
            if options.hours > 0.0 {
                settings.duration = Duration::from_secs_f64(options.hours * SECONDS_PER_HOUR);
            }
            jobs.push((*run, settings));
        }
    }
    jobs
}

fn check(options: &FaultsOptions) -> Result<(), FaultsError> {
    let out_of_range = |field, value: String, range| {
        Err(FaultsError::OutOfRange {
            field,
            value,
            range,
        })
    };
    if options.seeds == 0 {
        return out_of_range("seeds", options.seeds.to_string(), "1 or more");
    }
    if !(0.0..=10_000.0).contains(&options.hours) {
        return out_of_range("hours", options.hours.to_string(), "0 to 10000");
    }
    if options.threads == 0 {
        return out_of_range("threads", options.threads.to_string(), "1 or more");
    }
    Ok(())
}
