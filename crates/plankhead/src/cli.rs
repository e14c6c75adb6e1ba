//! The command line.

use crate::config::{self, Files};
use crate::{driver, duties, log, shard_table, views};
use clap::{Parser, Subcommand};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

/// A controller node of the plankhead cluster scheduler.
#[derive(Debug, Parser)]
#[command(version, about)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (JSON, see operator.schema.json).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Whether duties are fenced, and how (JSON, see fencing.schema.json). Without it they
    /// are not.
    #[arg(long, value_name = "FILE")]
    fencing: Option<PathBuf>,
    /// Whether the node judges what it reaches, and how (JSON, see
    /// reachability.schema.json). Without it it does not.
    #[arg(long, value_name = "FILE")]
    reachability: Option<PathBuf>,
    /// Whether machines are divided among the controllers, and how (JSON, see
    /// sharding.schema.json). Without it the leader answers all workers.
    #[arg(long, value_name = "FILE")]
    sharding: Option<PathBuf>,
    /// Check the settings, print every fault found, and end.
    #[arg(long)]
    check: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List the open duties, as the state service has them.
    Duties(DutiesArgs),
    /// Print what the controllers see of each other, and where they disagree.
    Views(ViewsArgs),
    /// Print which controller holds which shard of the machines, and where the records and
    /// the controllers disagree.
    Shards(ShardsArgs),
}

#[derive(Debug, clap::Args)]
struct DutiesArgs {
    /// The settings file of any controller node (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The time zone to show times in, such as Europe/Tallinn.
    #[arg(long, value_name = "NAME", default_value = "UTC")]
    time_zone: String,
}

#[derive(Debug, clap::Args)]
struct ViewsArgs {
    /// The settings file of any controller node (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Debug, clap::Args)]
struct ShardsArgs {
    /// The settings file of any controller node (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

pub fn main() -> ExitCode {
    let args = Args::parse();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            for fault in faults {
                eprintln!("plankhead: {fault}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Does what the command line asks for; on failure, every fault found.
fn run(args: Args) -> Result<(), Vec<String>> {
    if let Some(Command::Views(asked)) = args.command {
        let config = config::read(&Files { platform: asked.config, ..Files::default() })?;
        print!("{}", views::table(&block_on(views::ask_all(&config))?));
        return Ok(());
    }
    if let Some(Command::Shards(asked)) = args.command {
        let config = config::read(&Files { platform: asked.config, ..Files::default() })?;
        let shards = block_on(shard_table::read(&config))?.map_err(|error| vec![error.to_string()])?;
        print!("{}", shards.print());
        return Ok(());
    }
    if let Some(Command::Duties(asked)) = args.command {
        let config = config::read(&Files { platform: asked.config, ..Files::default() })?;
        let table = block_on(duties::list(config.state, &asked.time_zone))?;
        let table = table.map_err(|error| vec![error.to_string()])?;
        print!("{table}");
        return Ok(());
    }
    let config = config::read(&Files {
        platform: args.config.unwrap_or_default(),
        operator: args.operator,
        fencing: args.fencing,
        reachability: args.reachability,
        sharding: args.sharding,
    })?;
    if args.check {
        println!("the settings are good");
        return Ok(());
    }
    log::start();
    block_on(driver::run(config))?.map_err(|error| vec![error.to_string()])
}

/// Runs a future on this thread.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, Vec<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| vec![format!("the runtime can't start: {error}")])?;
    Ok(runtime.block_on(future))
}
