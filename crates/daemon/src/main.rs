//! The daemon's process: settings in, exit code out.

use monsoonring_daemon::launch;
use monsoonring_daemon::metrics::Metrics;
use monsoonring_daemon::run::{self, Telemetry};
use monsoonring_daemon::settings::{self, Settings};
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    match Settings::read(std::env::args_os()) {
        Ok(settings) => serve(&settings),
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
        Err(error) => {
            slog::crit!(log, "not started"; "error" => %error);
            ExitCode::from(run::EXIT_CODE_FAILED)
        }
    }
}
