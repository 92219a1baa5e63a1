//! `monsoonring`, the operators' command.
//!
//! Each subcommand is one module that returns a typed report; `output` writes a report for people or
//! as JSON, and `exit` gives its exit code. Scripts can therefore rely on the code alone, and a
//! person reads the same facts that a script would.

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
