//! Tests of the command line. Subcommands must keep working under their former names.

use crate::cli::{Args, Command};
use clap::error::ErrorKind;
use clap::{CommandFactory, Parser};

fn command(arguments: &[&str]) -> Command {
    Args::try_parse_from([&["plankhead"], arguments].concat()).unwrap().command.unwrap()
}

#[test]
fn subcommands_accept_their_former_names() {
    for name in ["intents", "duties"] {
        let arguments = [name, "--config", "a.json", "--time-zone", "Europe/Tallinn"];
        assert!(matches!(command(&arguments), Command::Intents(_)), "{name}");
        assert!(matches!(command(&[name, "--config=a.json"]), Command::Intents(_)), "{name}");
    }
    for name in ["reachability", "views"] {
        assert!(matches!(command(&[name, "--config", "a.json"]), Command::Reachability(_)), "{name}");
        assert!(matches!(command(&[name, "--config=a.json"]), Command::Reachability(_)), "{name}");
    }
    assert!(matches!(command(&["shards", "--config", "a.json"]), Command::Shards(_)));
}

#[test]
fn every_subcommand_name_has_help() {
    Args::command().debug_assert();
    for name in ["intents", "duties", "reachability", "views", "shards"] {
        for arguments in [["plankhead", name, "--help"], ["plankhead", "help", name]] {
            let error = Args::try_parse_from(arguments).unwrap_err();
            assert_eq!(error.kind(), ErrorKind::DisplayHelp, "{arguments:?}");
        }
    }
}

/// The option `--reachability` configures a node. It must not be taken for the subcommand of the same name.
#[test]
fn reachability_option_is_not_taken_for_the_subcommand() {
    let args = Args::try_parse_from(["plankhead", "--config", "a.json", "--reachability", "b.json"]).unwrap();
    assert!(args.command.is_none());
}
