//! The daemon's process: settings in, exit code out.

use monsoonring_daemon::settings::{self, Settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Settings::read(std::env::args_os()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(settings::Error::Asked { text }) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("monsoonringd: {error}");
            ExitCode::from(settings::EXIT_CODE)
        }
    }
}
