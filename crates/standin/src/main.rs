//! `bulrushhoist-standin`: stand-ins for a first look, tests and measurements.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::read_directory;
use bulrushhoist_core::Fencing;
use bulrushhoist_standin::{
    Farm, FarmLayout, FarmSettings, Local, LocalSettings, PlatformStandin, serve_control,
};
use lexopt::{Arg, Parser, ValueExt as _};

const HELP: &str = "\
bulrushhoist-standin - stand-ins of the systems that bulrushhoist meets

usage: bulrushhoist-standin local DIR [--daemons N] [--port PORT]
       bulrushhoist-standin platform [--listen ADDRESS]
       bulrushhoist-standin endpoints --platform ADDRESS --data-centres A,B
                            [--domains N] [--vms N] [--control ADDRESS]
                            [--ignore-fencing] [--relays] [--call-ms N]

  local      stand-ins and daemons in one process, with the files of DIR applied;
             callers' addresses count up from --port (8080)
  platform   the object API and VM list
  endpoints  VMs with model engines and plain services; they are listed at the
             platform, and --control has their fault switches and ledger

  --call-ms  time that a plain service takes for a call (10)
  --relays   put each VM behind a relay that can cut, freeze and silence it
";

/// Time that a local deployment gets to be whole.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two updates of the platform's VM list.
const LIST_PERIOD: Duration = Duration::from_millis(500);

type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Options {
    words: Vec<String>,
    daemons: usize,
    port: u16,
    listen: SocketAddr,
    control: SocketAddr,
    platform: Option<SocketAddr>,
    data_centres: Vec<String>,
    domains: u32,
    vms: u32,
    farm: FarmSettings,
}

fn parse() -> Result<Options, lexopt::Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = Options {
        words: Vec::new(),
        daemons: 7,
        port: 8080,
        listen: any,
        control: any,
        platform: None,
        data_centres: Vec::new(),
        domains: 2,
        vms: 16,
        farm: FarmSettings::default(),
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
            Arg::Long("ignore-fencing") => options.farm.fencing = Fencing::Ignored,
            Arg::Long("call-ms") => {
                options.farm.call = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("relays") => options.farm.relays = true,
            Arg::Short('h') | Arg::Long("help") => options.words = vec!["help".into()],
            Arg::Value(word) => options.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    let result = parse().map_err(Failure::from).and_then(|options| {
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
async fn run(options: Options) -> Result<(), Failure> {
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    match words.as_slice() {
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
async fn local(directory: PathBuf, options: &Options) -> Result<(), Failure> {
    let files = read_directory(&directory)?;
    let settings = LocalSettings {
        daemons: options.daemons,
        first_port: options.port,
        farm: options.farm,
        ..LocalSettings::default()
    };
    let local = Local::start(&files, settings).await?;
    println!("platform {}", local.platform.address());
    let control = serve_control(Arc::clone(&local.farm), options.control).await?;
    println!("endpoints' switches {control}");
    for daemon in &local.daemons {
        println!(
            "entry {} operator {}",
            daemon.caller_address(),
            daemon.operator_address()
        );
    }
    if local.wait_until_serving(START_TIMEOUT).await {
        println!("every group is serving; stop with Ctrl-C");
    } else {
        println!("not every group is serving yet; see `bulrushhoist status`");
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[allow(clippy::print_stdout)]
async fn endpoints(options: &Options) -> Result<(), Failure> {
    let platform = options.platform.ok_or("--platform is required")?;
    let layout = FarmLayout {
        data_centres: options.data_centres.clone(),
        domains: options.domains,
        vms: options.vms,
        first_port: 0,
    };
    let farm = Arc::new(Farm::start(&layout, options.farm).await?);
    let control = serve_control(Arc::clone(&farm), options.control).await?;
    println!("endpoints' switches {control}");
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut listed = Vec::new();
    loop {
        let records = farm.records();
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
        tokio::time::sleep(LIST_PERIOD).await;
    }
}
