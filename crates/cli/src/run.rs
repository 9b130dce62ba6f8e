//! Running a command.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::CommandFactory;
use clap_complete::Shell;

use crate::admin::AdminClient;
use crate::arguments::{Arguments, BurnFormat, Command, ProxyArguments};
use crate::printer::Printer;
use crate::{
    ApplyRequest, ExitStatus, Failure, LogFile, apply, burn_svg, check, explain, get, history,
    plan, proxy_commands,
};

/// Runs a command and prints its report.
pub fn run(arguments: &Arguments, out: &mut impl Write, err: &mut impl Write) -> ExitStatus {
    let limit_ms = arguments.timeout_ms;
    let mut printer = Printer { output: arguments.output, out, err };
    match &arguments.command {
        Command::Check { file } => {
            printer.print(read(file).and_then(|text| check(&text, &file.display().to_string())))
        }
        Command::Plan { file, store } => {
            printer.print(read(file).and_then(|text| {
                plan(&store.client(limit_ms)?, &text, &file.display().to_string())
            }))
        }
        Command::Apply { file, expect_version, applied_by, store } => {
            printer.print(read(file).and_then(|text| {
                let name = file.display().to_string();
                let request = apply_request(&text, &name, *expect_version, applied_by.as_deref())?;
                apply(&store.client(limit_ms)?, &request)
            }))
        }
        Command::Get { version, raw, store } => {
            let result = store.client(limit_ms).and_then(|client| get(&client, *version, *raw));
            printer.print_document(result)
        }
        Command::History { store } => {
            printer.print(store.client(limit_ms).and_then(|client| history(&client)))
        }
        Command::Explain { id, files, before_ms } => {
            let before_us = before_ms.saturating_mul(1_000);
            printer.print(read_logs(files).and_then(|logs| explain(id, &logs, before_us)))
        }
        Command::Completions { shell } => printer.print_text(Ok(completions(*shell))),
        Command::Status { proxies }
        | Command::Drain { proxies, .. }
        | Command::Promote { proxies, .. }
        | Command::Burn { proxies, .. } => {
            run_on_proxies(&arguments.command, proxies, limit_ms, &mut printer)
        }
    }
}

/// Runs a command that talks to proxies.
fn run_on_proxies(
    command: &Command,
    proxies: &ProxyArguments,
    limit_ms: u64,
    printer: &mut Printer<'_, impl Write, impl Write>,
) -> ExitStatus {
    let client = AdminClient::new(proxies, limit_ms);
    match command {
        Command::Drain { host, .. } => printer.print(proxy_commands::drain(&client, host)),
        Command::Promote { database, to, .. } => {
            printer.print(proxy_commands::promote(&client, database, to))
        }
        Command::Burn { format: BurnFormat::Table, .. } => {
            printer.print(proxy_commands::burn(&client))
        }
        Command::Burn { format: BurnFormat::Svg, .. } => {
            printer.print_text(proxy_commands::burn(&client).and_then(|summary| {
                burn_svg(&summary).map_err(|reason| Failure::Refused { reason })
            }))
        }
        _ => printer.print(proxy_commands::status(&client)),
    }
}

fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "flamingoctl", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}

/// Reads a service file.
fn read(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| Failure::Refused {
        reason: format!("{}: the file cannot be read: {error}", file.display()),
    })
}

/// Reads logs; bytes that are not text are replaced.
fn read_logs(files: &[PathBuf]) -> Result<Vec<LogFile>, Failure> {
    let read = |file: &PathBuf| {
        let name = file.display().to_string();
        match std::fs::read(file) {
            Ok(bytes) => Ok(LogFile { name, text: String::from_utf8_lossy(&bytes).into_owned() }),
            Err(error) => {
                Err(Failure::Refused { reason: format!("{name}: the log cannot be read: {error}") })
            }
        }
    };
    files.iter().map(read).collect()
}

/// Name of the user who runs the command.
fn user_name() -> String {
    std::env::var("USER").ok().filter(|name| !name.is_empty()).unwrap_or_else(|| "unknown".into())
}

fn apply_request<'a>(
    text: &'a str,
    file: &'a str,
    expect_version: Option<u64>,
    applied_by: Option<&str>,
) -> Result<ApplyRequest<'a>, Failure> {
    let mut id = [0u8; 16];
    getrandom::fill(&mut id).map_err(|error| Failure::Refused {
        reason: format!("the system has no random numbers: {error}"),
    })?;
    let applied_by = applied_by.map_or_else(user_name, str::to_owned);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(ApplyRequest {
        text,
        file,
        expect_version,
        apply_id: id.iter().map(|byte| format!("{byte:02x}")).collect(),
        applied_by,
        applied_at_unix_s: now.as_secs(),
    })
}
