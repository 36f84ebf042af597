//! Output as tables or JSON.

mod printer;
mod table;

pub use printer::Printer;
pub use table::Table;
