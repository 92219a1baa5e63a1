//! The daemon's process: settings in, exit code out.
//!
//! The daemon serves its own interface or the users' platform, as the first argument says:
//! `monsoonringd platform` takes everything else from the platform's settings file. Anything else is
//! the product's own interface with its flags and environment variables.

use monsoonring_daemon::launch;
use monsoonring_daemon::metrics::Metrics;
use monsoonring_daemon::run::{self, Telemetry};
use monsoonring_daemon::settings::{self, LogFormat, LogLevel, Settings};
use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;

/// Lines in a second below warnings that the log on the platform holds at most. A host writes about
/// 330 on the heaviest day; at 10 µs each, this bound is a fifth of a quarter of a core.
const LINES_A_SECOND: u32 = 5_000;

/// First argument of a daemon that serves the platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    match arguments.get(1) {
        Some(first) if first == PLATFORM => platform(),
        _ => product(arguments),
    }
}

fn product(arguments: Vec<OsString>) -> ExitCode {
    match Settings::read(arguments) {
        Ok(settings) => serve(&settings),
        Err(settings::Error::Help { text }) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => refuse(&error),
    }
}

fn platform() -> ExitCode {
    let path = monsoonring_platform::settings::path();
    match monsoonring_platform::settings::read(&path) {
        Ok(settings) => serve_platform(settings, &path),
        Err(error) => refuse(&error),
    }
}

/// Ends the start over settings that can't be used.
fn refuse(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("monsoonringd: {error}");
    ExitCode::from(settings::EXIT_CODE)
}

#[tokio::main]
async fn serve(settings: &Settings) -> ExitCode {
    let metrics = Arc::new(Metrics::default());
    let dropped = metrics.log_dropped.clone();
    let (log, _guard) =
        monsoonring_daemon::log::start(settings.log_format, settings.log_level, dropped);
    let telemetry = Telemetry {
        log: log.clone(),
        metrics,
    };
    match launch::run(settings, telemetry).await {
        Ok(ended) => ended.into(),
        Err(error) => failed(&log, &error),
    }
}

/// Serves the platform on one thread: its hosts have a part of one core, on which further threads
/// would only take turns.
#[tokio::main(flavor = "current_thread")]
async fn serve_platform(
    settings: monsoonring_platform::settings::Settings,
    path: &std::path::Path,
) -> ExitCode {
    let metrics = Arc::new(Metrics::default());
    let dropped = metrics.log_dropped.clone();
    let output = std::io::stdout();
    let lines = Some(LINES_A_SECOND);
    let (format, level) = (LogFormat::Json, LogLevel::Info);
    let (log, _guard) =
        monsoonring_daemon::log::start_bounded(output, format, level, dropped, lines);
    let log = log.new(slog::o!("host" => settings.host.clone()));
    let telemetry = Telemetry {
        log: log.clone(),
        metrics,
    };
    match monsoonring_platform::run(settings, path, telemetry).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(run::EXIT_CODE_CUT),
        Err(error) => failed(&log, &error),
    }
}

fn failed(log: &slog::Logger, error: &dyn std::error::Error) -> ExitCode {
    slog::crit!(log, "not started"; "error" => %error);
    ExitCode::from(run::EXIT_CODE_FAILED)
}
