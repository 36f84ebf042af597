//! Load of a pool as nodes report it to each other.

use ryerouter_core::admission::shedding::{Load, Urgency, Usage};
use ryerouter_core::identity::PoolName;
use serde::{Deserialize, Serialize};

/// Number of significant digits of reported figures. More digits would only be noise.
const REPORTED_DIGITS: i32 = 3;

/// Load of requests of one urgency: the priorities of tenant and route, work asked for and begun per second, and work that
/// waits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassUpdate(pub u8, pub u8, pub f32, pub f32, pub f32);

impl ClassUpdate {
    fn new(urgency: Urgency, usage: Usage) -> Self {
        Self(
            urgency.tenant,
            urgency.route,
            rounded(usage.asked),
            rounded(usage.begun),
            rounded(usage.waiting),
        )
    }
}

/// Load of a pool at the sender, or at all nodes of its zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolLoadUpdate(pub PoolName, pub Vec<ClassUpdate>);

impl PoolLoadUpdate {
    /// The report of a load.
    pub fn new(pool: &PoolName, load: &Load) -> Self {
        let used = load.iter().filter(|(_, usage)| *usage != Usage::default());
        let classes = used.map(|(urgency, usage)| ClassUpdate::new(urgency, usage));
        Self(pool.clone(), classes.collect())
    }

    /// Adds the reported load to `load`, as far as it takes up capacity of the engines. Figures that make no sense are left out.
    pub fn add_to(&self, load: &mut Load) {
        let mut reported = Load::default();
        for ClassUpdate(tenant, route, asked, begun, waiting) in &self.1 {
            let urgency = Urgency {
                tenant: *tenant,
                route: *route,
            };
            let usage = Usage {
                asked: sensible(*asked),
                begun: sensible(*begun),
                waiting: sensible(*waiting),
            };
            reported.add(urgency, usage);
        }
        load.add_all(&reported.effective());
    }
}

fn sensible(value: f32) -> f64 {
    if value.is_finite() {
        f64::from(value.max(0.0))
    } else {
        0.0
    }
}

fn rounded(value: f64) -> f32 {
    if value <= 0.0 {
        return 0.0;
    }
    let digits = value.log10().floor() as i32 + 1;
    let unit = 10_f64.powi(digits - REPORTED_DIGITS);
    ((value / unit).round() * unit) as f32
}
