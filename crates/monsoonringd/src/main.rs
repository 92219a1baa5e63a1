//! `monsoonringd`, the daemon's executable.
//!
//! `monsoonringd platform` serves the users' platform and reads its settings from the platform's
//! settings file. Otherwise the daemon serves the product's own interface, with settings from flags and
//! environment variables.

use monsoonring_daemon::launch;
use monsoonring_daemon::metrics::Metrics;
use monsoonring_daemon::run::{self, Telemetry};
use monsoonring_daemon::settings::{self, LogFormat, LogLevel, Settings};
use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;

/// Limit on log lines below warnings per second on the platform, which bounds the CPU time spent on
/// logging.
const MAX_LINES_PER_SECOND: u32 = 5_000;

/// First argument that selects the platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    match arguments.get(1) {
        Some(first) if first == PLATFORM => run_platform(),
        _ => run_product(arguments),
    }
}

fn run_product(arguments: Vec<OsString>) -> ExitCode {
    match Settings::read(arguments) {
        Ok(settings) => serve(&settings),
        Err(settings::Error::Help { text }) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => invalid_settings(&error),
    }
}

fn run_platform() -> ExitCode {
    let path = monsoonring_platform::settings::path();
    match monsoonring_platform::settings::read(&path) {
        Ok(settings) => serve_platform(settings, &path),
        Err(error) => invalid_settings(&error),
    }
}

/// Reports invalid settings and returns their exit code.
fn invalid_settings(error: &dyn std::error::Error) -> ExitCode {
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
        Ok(outcome) => outcome.into(),
        Err(error) => startup_failed(&log, &error),
    }
}

/// Serves the platform on one thread: its hosts have less than one core, so more threads would not run
/// in parallel.
#[tokio::main(flavor = "current_thread")]
async fn serve_platform(
    settings: monsoonring_platform::settings::Settings,
    path: &std::path::Path,
) -> ExitCode {
    let metrics = Arc::new(Metrics::default());
    let dropped = metrics.log_dropped.clone();
    let output = std::io::stdout();
    let max_lines = Some(MAX_LINES_PER_SECOND);
    let (format, level) = (LogFormat::Json, LogLevel::Info);
    let (log, _guard) =
        monsoonring_daemon::log::start_bounded(output, format, level, dropped, max_lines);
    let log = log.new(slog::o!("host" => settings.host.clone()));
    let telemetry = Telemetry {
        log: log.clone(),
        metrics,
    };
    match monsoonring_platform::run(settings, path, telemetry).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(run::EXIT_CODE_CUT),
        Err(error) => startup_failed(&log, &error),
    }
}

fn startup_failed(log: &slog::Logger, error: &dyn std::error::Error) -> ExitCode {
    slog::crit!(log, "not started"; "error" => %error);
    ExitCode::from(run::EXIT_CODE_FAILED)
}
