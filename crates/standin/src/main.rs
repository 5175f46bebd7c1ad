//! `bulrushhoist-standin`: stand-ins for local runs, tests and benchmarks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::read_directory;
use bulrushhoist_core::Fencing;
use bulrushhoist_standin::{
    EndpointLayout, EndpointSettings, EndpointStandins, LocalDeployment, LocalSettings,
    PlatformStandin, serve_control,
};
use lexopt::{Arg, Parser, ValueExt as _};

const HELP: &str = "\
bulrushhoist-standin - stand-ins for the systems that bulrushhoist talks to

usage: bulrushhoist-standin local DIR [--daemons N] [--port PORT]
       bulrushhoist-standin platform [--listen ADDRESS]
       bulrushhoist-standin endpoints --platform ADDRESS --data-centres A,B
                            [--domains N] [--vms N] [--control ADDRESS]
                            [--ignore-fencing] [--relays] [--call-ms N]

  local      run stand-ins and daemons in one process and apply the files of DIR;
             caller addresses use consecutive ports from --port (8080)
  platform   serve the object API and the VM list
  endpoints  run VMs with model engines and plain services, and list them at the
             platform; --control serves fault injection and the execution ledger

  --call-ms  time that a plain service takes for a call, in ms (10)
  --relays   put each VM behind a proxy that can close, stall and blackhole its
             connections
";

/// Time within which every group of a local deployment must serve.
const SERVING_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which changes of the VM records are sent to the platform.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);

type BoxedError = Box<dyn std::error::Error + Send + Sync>;

struct Options {
    positional: Vec<String>,
    daemons: usize,
    port: u16,
    listen: SocketAddr,
    control: SocketAddr,
    platform: Option<SocketAddr>,
    data_centres: Vec<String>,
    domains: u32,
    vms: u32,
    endpoints: EndpointSettings,
}

fn parse() -> Result<Options, lexopt::Error> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = Options {
        positional: Vec::new(),
        daemons: 7,
        port: 8080,
        listen: any_port,
        control: any_port,
        platform: None,
        data_centres: Vec::new(),
        domains: 2,
        vms: 16,
        endpoints: EndpointSettings::default(),
    };
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("daemons") => options.daemons = parser.value()?.parse()?,
            Arg::Long("port") => options.port = parser.value()?.parse()?,
            Arg::Long("listen") => options.listen = parser.value()?.parse()?,
            Arg::Long("control") => options.control = parser.value()?.parse()?,
            Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Arg::Long("data-centres") => {
                let names = parser.value()?.string()?;
                options.data_centres = names.split(',').map(str::to_owned).collect();
            }
            Arg::Long("domains") => options.domains = parser.value()?.parse()?,
            Arg::Long("vms") => options.vms = parser.value()?.parse()?,
            Arg::Long("ignore-fencing") => options.endpoints.fencing = Fencing::Ignored,
            Arg::Long("call-ms") => {
                options.endpoints.call_time = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("relays") => options.endpoints.proxied = true,
            Arg::Short('h') | Arg::Long("help") => options.positional = vec!["help".into()],
            Arg::Value(word) => options.positional.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    let result = parse().map_err(BoxedError::from).and_then(|options| {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(run(options))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushhoist-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stdout)]
async fn run(options: Options) -> Result<(), BoxedError> {
    let positional: Vec<&str> = options.positional.iter().map(String::as_str).collect();
    match positional.as_slice() {
        ["local", directory] => local(PathBuf::from(directory), &options).await,
        ["platform"] => {
            let platform = PlatformStandin::start(options.listen).await?;
            println!("platform {}", platform.address());
            Ok(tokio::signal::ctrl_c().await?)
        }
        ["endpoints"] => endpoints(&options).await,
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

#[allow(clippy::print_stdout)]
async fn local(directory: PathBuf, options: &Options) -> Result<(), BoxedError> {
    let files = read_directory(&directory)?;
    let settings = LocalSettings {
        daemons: options.daemons,
        first_port: options.port,
        endpoints: options.endpoints,
        ..LocalSettings::default()
    };
    let local = LocalDeployment::start(&files, settings).await?;
    println!("platform {}", local.platform.address());
    let control = serve_control(Arc::clone(&local.endpoints), options.control).await?;
    println!("endpoint control {control}");
    for daemon in &local.daemons {
        println!(
            "entry {} operator {}",
            daemon.caller_address(),
            daemon.operator_address()
        );
    }
    if local.wait_until_serving(SERVING_TIMEOUT).await {
        println!("every group is serving; stop with Ctrl-C");
    } else {
        println!("not every group is serving yet; see `bulrushhoist status`");
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[allow(clippy::print_stdout)]
async fn endpoints(options: &Options) -> Result<(), BoxedError> {
    let platform = options.platform.ok_or("--platform is required")?;
    let layout = EndpointLayout {
        data_centres: options.data_centres.clone(),
        domains: options.domains,
        vms: options.vms,
        first_port: 0,
    };
    let endpoints = Arc::new(EndpointStandins::start(&layout, options.endpoints).await?);
    let control = serve_control(Arc::clone(&endpoints), options.control).await?;
    println!("endpoint control {control}");
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut listed = Vec::new();
    loop {
        let records = endpoints.records();
        if records != listed {
            let sent = client
                .put(format!("http://{platform}/v1/vms"))
                .json(&records)
                .send()
                .await;
            if sent.is_ok_and(|r| r.status().is_success()) {
                listed = records;
            }
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}
