//! `monsoonring`, the operators' command.
//!
//! Each subcommand is a module that builds a typed report. `output` writes the report as text or JSON,
//! so that both hold the same data, and `exit` lists the exit codes, on which scripts can rely alone.

mod arguments;
mod command;
mod exit;
mod output;
mod peer;
mod table;

use arguments::{Arguments, Command};
use clap::Parser;
use output::Output;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(arguments)),
        Err(error) => {
            eprintln!("monsoonring: start the runtime: {error}");
            exit::Code::Usage.into()
        }
    }
}

async fn run(arguments: Arguments) -> ExitCode {
    let output = Output::new(arguments.json);
    let code = match arguments.command {
        Command::Check(check) => command::check::run(&check, output),
        Command::Query(query) => command::query::run(query, output).await,
        Command::Execute(execute) => command::execute::run(execute, output).await,
        Command::Status(status) => command::status::run(status, output).await,
        Command::Explain(explain) => command::explain::run(&explain, output).await,
    };
    code.into()
}
