//! A scenario.

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    BuiltIn, DataCentreSpec, FaultSpec, FieldError, ItemSpec, LoadReportSpec, ModelPoolSpec,
    ModelWork, NetworkSpec, RangeSpec, RequestClassSpec, RequestWork, ScenarioError,
    ServicePoolSpec, TenantSpec,
};
use crate::engine_model::EngineProfile;

/// A deployment, its load and what fails in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Length of the run, during which requests arrive.
    pub duration_seconds: f64,
    /// Start of the run that measurements leave out, while caches fill for the first time.
    pub warm_up_seconds: f64,
    /// Router processes in each zone.
    pub nodes_per_zone: u32,
    /// Data centres.
    pub data_centres: Vec<DataCentreSpec>,
    /// Delays.
    pub network: NetworkSpec,
    /// Load reports.
    pub load_reports: LoadReportSpec,
    /// Engines.
    pub model_pool: ModelPoolSpec,
    /// Speed and sizes of each engine.
    pub engine: EngineProfile,
    /// Plain service processes.
    pub service_pool: ServicePoolSpec,
    /// Tokens of the operator's house style, with which every prompt begins.
    pub house_style_tokens: u32,
    /// Tenants.
    pub tenants: Vec<TenantSpec>,
    /// Classes of requests.
    pub classes: Vec<RequestClassSpec>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

impl Scenario {
    /// A scenario that comes with the program.
    ///
    /// # Errors
    ///
    /// The built-in file is faulty, which a test rules out.
    pub fn built_in(built_in: BuiltIn) -> Result<Self, ScenarioError> {
        Self::parse(built_in.text())
    }

    /// The scenario of this name, or of this file when no built-in one has the name.
    ///
    /// # Errors
    ///
    /// The file cannot be read or used.
    pub fn load(name_or_path: &str) -> Result<Self, ScenarioError> {
        match BuiltIn::by_name(name_or_path) {
            Some(built_in) => Self::built_in(built_in),
            None => Self::parse(&std::fs::read_to_string(Path::new(name_or_path))?),
        }
    }

    /// Parses and checks a scenario file.
    ///
    /// # Errors
    ///
    /// The text is no scenario, or fields have values that cannot be used.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The scenario with all rates of arrival multiplied.
    #[must_use]
    pub fn with_load(mut self, factor: f64) -> Self {
        for class in &mut self.classes {
            class.requests_per_second *= factor;
        }
        self
    }

    /// All zones with the number of their data centre, in the order of the file.
    pub fn zones(&self) -> Vec<(usize, &str)> {
        let mut zones = Vec::new();
        for (data_centre, spec) in self.data_centres.iter().enumerate() {
            zones.extend(spec.zones.iter().map(|zone| (data_centre, zone.as_str())));
        }
        zones
    }

    /// How long requests arrive.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_seconds)
    }

    /// How long measurements are left out.
    pub fn warm_up(&self) -> Duration {
        Duration::from_secs_f64(self.warm_up_seconds)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let mut errors = Vec::new();
        self.check_run(&mut errors);
        self.check_deployment(&mut errors);
        self.check_engine(&mut errors);
        for (number, tenant) in self.tenants.iter().enumerate() {
            let field = format!("tenants[{number}].share");
            require(
                tenant.share > 0.0,
                &field,
                tenant.share,
                "must be above 0",
                &mut errors,
            );
        }
        for class in &self.classes {
            check_class(class, &mut errors);
        }
        for (number, fault) in self.faults.iter().enumerate() {
            self.check_fault(number, fault, &mut errors);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(ScenarioError::Fields(errors))
        }
    }

    fn check_run(&self, errors: &mut Vec<FieldError>) {
        let duration = self.duration_seconds;
        let fits = duration > 0.0 && duration <= MAX_DURATION_SECONDS;
        require(
            fits,
            "duration_seconds",
            duration,
            "must lie above 0 and up to 86400",
            errors,
        );
        let warm_up = self.warm_up_seconds;
        let fits = (0.0..duration).contains(&warm_up);
        require(
            fits,
            "warm_up_seconds",
            warm_up,
            "must lie from 0 to below duration_seconds",
            errors,
        );
        let some = !self.tenants.is_empty();
        require(
            some,
            "tenants",
            "[]",
            "must name at least one tenant",
            errors,
        );
        let some = !self.classes.is_empty();
        require(
            some,
            "classes",
            "[]",
            "must name at least one class",
            errors,
        );
    }

    fn check_deployment(&self, errors: &mut Vec<FieldError>) {
        let zones = self.zones();
        require(
            !zones.is_empty(),
            "data_centres",
            "[]",
            "must hold at least one zone",
            errors,
        );
        let mut names: Vec<&str> = zones.iter().map(|(_, name)| *name).collect();
        names.sort_unstable();
        names.dedup();
        let unique = names.len() == zones.len();
        require(
            unique,
            "data_centres.zones",
            zones.len(),
            "must not name a zone twice",
            errors,
        );
        let counts = [
            ("nodes_per_zone", self.nodes_per_zone),
            ("model_pool.engines", self.model_pool.engines),
            (
                "model_pool.weights_loads_at_once",
                self.model_pool.weights_loads_at_once,
            ),
            ("service_pool.processes", self.service_pool.processes),
            ("service_pool.concurrency", self.service_pool.concurrency),
        ];
        for (field, count) in counts {
            require(count > 0, field, count, "must be above 0", errors);
        }
        let interval = self.load_reports.interval_millis;
        require(
            interval > 0,
            "load_reports.interval_millis",
            interval,
            "must be above 0",
            errors,
        );
    }

    fn check_engine(&self, errors: &mut Vec<FieldError>) {
        let engine = &self.engine;
        let sizes = [
            (
                "engine.prefill_tokens_per_second",
                engine.prefill_tokens_per_second,
            ),
            ("engine.prefill_chunk_tokens", engine.prefill_chunk_tokens),
            ("engine.max_running", engine.max_running),
            ("engine.kv_capacity_tokens", engine.kv_capacity_tokens),
            (
                "engine.kv_transfer_tokens_per_second",
                engine.kv_transfer_tokens_per_second,
            ),
        ];
        for (field, size) in sizes {
            require(size > 0, field, size, "must be above 0", errors);
        }
    }

    fn check_fault(&self, number: usize, fault: &FaultSpec, errors: &mut Vec<FieldError>) {
        let at = fault.at_seconds();
        let within = (0.0..self.duration_seconds).contains(&at);
        let field = format!("faults[{number}].at_seconds");
        require(within, &field, at, "must lie within the run", errors);
        match fault {
            FaultSpec::EngineCrash { engine, .. } => {
                let known = *engine < self.model_pool.engines;
                let field = format!("faults[{number}].engine");
                require(
                    known,
                    &field,
                    engine,
                    "must be below model_pool.engines",
                    errors,
                );
            }
            FaultSpec::ZoneCrash { zone, .. } => {
                let known = self.zones().iter().any(|(_, name)| name == zone);
                let field = format!("faults[{number}].zone");
                require(
                    known,
                    &field,
                    zone,
                    "must be a zone of data_centres",
                    errors,
                );
            }
        }
    }
}

const MAX_DURATION_SECONDS: f64 = 86_400.0;

fn check_class(class: &RequestClassSpec, errors: &mut Vec<FieldError>) {
    let name = &class.name;
    let rate = class.requests_per_second;
    let field = format!("classes[{name}].requests_per_second");
    require(
        rate > 0.0 && rate.is_finite(),
        &field,
        rate,
        "must be above 0",
        errors,
    );
    let permille = class.at_most_once_permille;
    let field = format!("classes[{name}].at_most_once_permille");
    require(
        permille <= 1_000,
        &field,
        permille,
        "must not exceed 1000",
        errors,
    );
    if let RequestWork::Model(work) = &class.work {
        check_model_work(name, work, errors);
    }
}

fn check_model_work(name: &str, work: &ModelWork, errors: &mut Vec<FieldError>) {
    let mut ranges = vec![
        ("item_tokens", work.item_tokens),
        ("question_tokens", work.question_tokens),
        ("output_tokens", work.output_tokens),
    ];
    match &work.items {
        ItemSpec::Jobs { questions, .. } => ranges.push(("items.questions", *questions)),
        ItemSpec::Catalogue {
            size,
            zipf_exponent,
            requests_per_item,
            callers,
            hot_share,
            hot_period_seconds,
            ..
        } => {
            let counts = [
                ("size", *size),
                ("requests_per_item", *requests_per_item),
                ("callers", *callers),
            ];
            for (field, count) in counts {
                let field = format!("classes[{name}].items.{field}");
                require(count > 0, &field, count, "must be above 0", errors);
            }
            let field = format!("classes[{name}].items.zipf_exponent");
            let fits = (0.0..=MAX_ZIPF_EXPONENT).contains(zipf_exponent);
            require(fits, &field, zipf_exponent, "must lie from 0 to 10", errors);
            let field = format!("classes[{name}].items.hot_share");
            let fits = (0.0..=1.0).contains(hot_share);
            require(fits, &field, hot_share, "must lie from 0 to 1", errors);
            let field = format!("classes[{name}].items.hot_period_seconds");
            require(
                *hot_period_seconds > 0.0,
                &field,
                hot_period_seconds,
                "must be above 0",
                errors,
            );
        }
    }
    for (field, range) in ranges {
        let field = format!("classes[{name}].{field}");
        check_range(&field, range, errors);
    }
}

const MAX_ZIPF_EXPONENT: f64 = 10.0;

fn check_range(field: &str, range: RangeSpec, errors: &mut Vec<FieldError>) {
    let fits = range.least > 0 && range.least <= range.most;
    let value = format!("[{}, {}]", range.least, range.most);
    require(fits, field, value, "must rise from at least 1", errors);
}

fn require(
    fits: bool,
    field: &str,
    value: impl Display,
    reason: &'static str,
    errors: &mut Vec<FieldError>,
) {
    if !fits {
        errors.push(FieldError {
            field: field.to_owned(),
            value: value.to_string(),
            reason,
        });
    }
}
