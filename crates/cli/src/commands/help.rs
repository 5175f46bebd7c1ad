//! Help texts of the commands.

const OVERVIEW: &str = "\
bulrushhoist - operates a deployment by applying declarative files

usage: bulrushhoist [options] COMMAND

  check DIR                  check a directory of deployment files
  diff DIR                   compare a directory with the stored configuration
  apply DIR                  make its files the configuration
  status                     show daemons and groups
  data-centre out NAME       take a data centre out of service
  data-centre in NAME        bring a data centre back into service
  data-centre list           show which data centres are in service
  entries                    show the entry addresses
  requests explain ID        show what happened to a request
  help [COMMAND]             show help

options:
  --platform ADDRESS   the platform's object API, or BULRUSHHOIST_PLATFORM
  --output text|json   output format
  --timeout SECONDS    time to wait until a change is in force, default 8
  -q, --quiet          print errors only
  -v, --verbose        print details
  -h, --help           show help
  -V, --version        show the version

BULRUSHHOIST_OPERATOR_TOKEN holds the token for the daemons' operator addresses.

exit codes: 0 done, 1 failed, 2 bad usage or files, 3 files differ (diff),
4 conflict with another operator, 5 stored but not in force in time,
6 unknown whether it was stored, 7 refused, 8 not found
";

const APPLY: &str = "\
usage: bulrushhoist apply DIR [--base GENERATION] [--wait] [--timeout SECONDS]

Checks all .toml files of DIR together; if one has a problem, all problems are
shown and nothing is stored. Otherwise the files become the configuration in
one conditional update. If another operator stored a configuration meanwhile,
nothing is overwritten: the difference is shown and the exit code is 4.

  --base GENERATION  fail with a conflict unless this generation is stored
  --wait             wait until the configuration is in force at every daemon
";

const DATA_CENTRE: &str = "\
usage: bulrushhoist data-centre out NAME [--force]
       bulrushhoist data-centre in NAME
       bulrushhoist data-centre list

`out` first shows how many serving replicas of each workload remain, and
refuses (exit code 7) if one would have none left, unless --force is given.
The state is not part of the configuration: applying files does not change it.
";

const CHECK: &str = "\
usage: bulrushhoist check DIR [--deny-warnings]

Checks all .toml files of DIR together and shows every problem with its file,
line, key, the value found and the values allowed. If there is none, shows
warnings for entries without effect and limits that contradict each other.
Needs no platform.

  --deny-warnings  fail with exit code 2 if there are warnings
";

const DIFF: &str = "\
usage: bulrushhoist diff DIR

Shows which files and lines of DIR differ from the stored configuration. The
exit code is 3 if any differ, and 2 if the files of DIR have problems. Warnings
are shown as with `check`.
";

const STATUS: &str = "\
usage: bulrushhoist status [-v]

Shows each daemon's generation in force, and each group that is not serving
with the reason. With -v, shows every group and its members.
";

const REQUESTS: &str = "\
usage: bulrushhoist requests explain ID

Shows the trace of a request from every daemon that has one; ID is the
x-request-id of the answer. Daemons keep the traces of their last 4,000 requests.
";

/// Returns the help for a command, or the overview.
pub(super) fn text(topic: Option<&str>) -> &'static str {
    match topic {
        Some("apply") => APPLY,
        Some("check") => CHECK,
        Some("diff") => DIFF,
        Some("status") => STATUS,
        Some("data-centre") => DATA_CENTRE,
        Some("requests") => REQUESTS,
        _ => OVERVIEW,
    }
}
