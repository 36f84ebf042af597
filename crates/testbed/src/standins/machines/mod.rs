//! Stand-in for the platform's lagging list of machines.

mod handler;
mod machine;
mod machine_list;
mod machine_role;
mod machine_state;

pub use machine::Machine;
pub use machine_list::MachineList;
pub use machine_role::MachineRole;
pub use machine_state::MachineState;
