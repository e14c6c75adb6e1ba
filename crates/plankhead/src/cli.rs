//! The command line: its arguments, and what the program runs for them.

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
    /// The operators' settings for the size of the fleet (JSON, see operator.schema.json).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The settings for fencing (JSON, see fencing.schema.json). Fencing is off without this
    /// file.
    #[arg(long, value_name = "FILE")]
    fencing: Option<PathBuf>,
    /// The settings for reachability checks (JSON, see reachability.schema.json). The checks are
    /// off without this file.
    #[arg(long, value_name = "FILE")]
    reachability: Option<PathBuf>,
    /// The settings for sharding of machines among the controllers (JSON, see
    /// sharding.schema.json). Without this file sharding is off, and the leader answers all
    /// workers.
    #[arg(long, value_name = "FILE")]
    sharding: Option<PathBuf>,
    /// Check the settings, print every fault found, and exit.
    #[arg(long)]
    check: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// List the open intents that are recorded in the state service.
    #[command(alias = "duties")]
    Intents(IntentsArgs),
    /// Print which links between the controllers work according to each controller, and where the
    /// controllers disagree.
    #[command(alias = "views")]
    Reachability(ConfigArgs),
    /// Print which controller holds each shard of the machines, and where the stored records and
    /// the controllers disagree.
    Shards(ConfigArgs),
}

#[derive(Debug, clap::Args)]
pub(crate) struct IntentsArgs {
    #[command(flatten)]
    config: ConfigArgs,
    /// The time zone of the printed times, such as Europe/Tallinn.
    #[arg(long, value_name = "NAME", default_value = "UTC")]
    time_zone: String,
}

#[derive(Debug, clap::Args)]
pub(crate) struct ConfigArgs {
    /// The settings file of any controller node (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// The reason why the program failed.
#[derive(Debug, Error)]
enum CliError {
    /// Errors in the settings files, each of which is printed on its own line.
    #[error("{} errors in the settings", .0.len())]
    Settings(Vec<SettingsFault>),
    #[error("can't start the async runtime: {0}")]
    Runtime(io::Error),
    #[error(transparent)]
    Node(#[from] RunError),
    #[error(transparent)]
    Intents(#[from] intents::ListError),
    #[error(transparent)]
    Shards(#[from] shards::ReadError),
}

/// Parses the command line and runs the node or the given subcommand.
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
            print!("{}", reachability::format_table(&views));
            Ok(())
        }
        Some(Command::Shards(args)) => {
            let settings = read_settings(args)?;
            let shards = block_on(shards::read(&settings))??;
            print!("{}", shards.format_table());
            Ok(())
        }
        None => run_node(args),
    }
}

/// Reads the platform's settings file, the only one that subcommands use.
fn read_settings(args: ConfigArgs) -> Result<NodeSettings, CliError> {
    settings::read(&SettingsFiles { platform: args.config, ..SettingsFiles::default() })
        .map_err(CliError::Settings)
}

/// Runs a node, or only checks its settings if `--check` is given.
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

/// Runs a future to completion on the current thread.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(CliError::Runtime)?.block_on(future))
}
