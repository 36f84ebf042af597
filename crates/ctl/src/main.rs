//! `ryectl`.

use std::process::ExitCode;

use ryerouter_ctl::{Environment, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut environment = Environment::of_process();
    run(&arguments, &mut environment).await.into()
}
