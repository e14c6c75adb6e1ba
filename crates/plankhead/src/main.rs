//! The `plankhead` program. The library of the same name contains its code.

fn main() -> std::process::ExitCode {
    plankhead::cli::main()
}
