//! The command line.

use crate::{config, driver, log};
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// A controller node of the plankhead cluster scheduler.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (JSON, see operator.schema.json).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings, print every fault found, and end.
    #[arg(long)]
    check: bool,
}

pub fn main() -> ExitCode {
    let args = Args::parse();
    let config = match config::read(&args.config, args.operator.as_deref()) {
        Ok(config) => config,
        Err(faults) => {
            for fault in faults {
                eprintln!("plankhead: {fault}");
            }
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        println!("the settings are good");
        return ExitCode::SUCCESS;
    }
    log::start();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("plankhead: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(driver::run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plankhead: {error}");
            ExitCode::FAILURE
        }
    }
}
