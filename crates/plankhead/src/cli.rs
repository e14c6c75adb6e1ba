//! The command line.

use crate::log;
use crate::runtime::{self, RunError};
use crate::settings::{self, NodeSettings, SettingsFault, SettingsFiles};
use crate::subcommands::{intents, reachability, shards};
use clap::{Parser, Subcommand};
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// A controller node of the plankhead cluster scheduler.
#[derive(Debug, Parser)]
#[command(version, about)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (JSON, see operator.schema.json).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Turns fencing on or off and configures it (JSON, see fencing.schema.json). Off without
    /// this file.
    #[arg(long, value_name = "FILE")]
    fencing: Option<PathBuf>,
    /// Turns reachability checks on or off and configures them (JSON, see
    /// reachability.schema.json). Off without this file.
    #[arg(long, value_name = "FILE")]
    reachability: Option<PathBuf>,
    /// Turns sharding of machines among the controllers on or off and configures it (JSON, see
    /// sharding.schema.json). Off without this file: the leader answers all workers.
    #[arg(long, value_name = "FILE")]
    sharding: Option<PathBuf>,
    /// Check the settings, print every fault found, and exit.
    #[arg(long)]
    check: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// List the open intents, as the state service has them.
    #[command(alias = "duties")]
    Intents(IntentsArgs),
    /// Print which links between the controllers work, as each of them sees it, and where they
    /// disagree.
    #[command(alias = "views")]
    Reachability(ConfigArgs),
    /// Print which controller holds which shard of the machines, and where the records and the
    /// controllers disagree.
    Shards(ConfigArgs),
}

#[derive(Debug, clap::Args)]
pub(crate) struct IntentsArgs {
    #[command(flatten)]
    config: ConfigArgs,
    /// The time zone to show times in, such as Europe/Tallinn.
    #[arg(long, value_name = "NAME", default_value = "UTC")]
    time_zone: String,
}

#[derive(Debug, clap::Args)]
pub(crate) struct ConfigArgs {
    /// The settings file of any controller node (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// Why the program failed.
#[derive(Debug, Error)]
enum CliError {
    /// Printed a line each.
    #[error("{} faults in the settings", .0.len())]
    Settings(Vec<SettingsFault>),
    #[error("the runtime can't start: {0}")]
    Runtime(io::Error),
    #[error(transparent)]
    Node(#[from] RunError),
    #[error(transparent)]
    Intents(#[from] intents::ListError),
    #[error(transparent)]
    Shards(#[from] shards::ReadError),
}

/// Runs the program as its command line asks.
pub fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Settings(faults)) => {
            for fault in faults {
                eprintln!("plankhead: {fault}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("plankhead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), CliError> {
    match args.command {
        Some(Command::Intents(args)) => {
            let settings = read_settings(args.config)?;
            let table = block_on(intents::list(settings.state_service, &args.time_zone))??;
            print!("{table}");
            Ok(())
        }
        Some(Command::Reachability(args)) => {
            let settings = read_settings(args)?;
            let views = block_on(reachability::fetch(&settings))?;
            print!("{}", reachability::table(&views));
            Ok(())
        }
        Some(Command::Shards(args)) => {
            let settings = read_settings(args)?;
            let shards = block_on(shards::read(&settings))??;
            print!("{}", shards.print());
            Ok(())
        }
        None => run_node(args),
    }
}

/// The settings that subcommands need.
fn read_settings(args: ConfigArgs) -> Result<NodeSettings, CliError> {
    settings::read(&SettingsFiles { platform: args.config, ..SettingsFiles::default() })
        .map_err(CliError::Settings)
}

/// Runs a node, or only checks its settings.
fn run_node(args: Args) -> Result<(), CliError> {
    let files = SettingsFiles {
        platform: args.config.unwrap_or_default(),
        operator: args.operator,
        fencing: args.fencing,
        reachability: args.reachability,
        sharding: args.sharding,
    };
    let settings = settings::read(&files).map_err(CliError::Settings)?;
    if args.check {
        println!("the settings are good");
        return Ok(());
    }
    log::start();
    Ok(block_on(runtime::run(settings))??)
}

/// Runs a future on this thread.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(CliError::Runtime)?.block_on(future))
}
