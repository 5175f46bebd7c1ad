//! Help texts.

const OVERVIEW: &str = "\
bulrushhoist - operates a deployment by applying declarative files

usage: bulrushhoist [options] COMMAND

  check DIR                  check a directory of deployment files
  diff DIR                   compare it with the stored configuration
  apply DIR                  make it the configuration, as a whole
  status                     show daemons and groups
  data-centre out NAME       take a data centre out of service
  data-centre in NAME        bring it back
  data-centre list           show which are in service
  entries                    show the entry addresses
  requests explain ID        show what happened to a request
  help [COMMAND]             show help

options:
  --platform ADDRESS   the platform's object API, or BULRUSHHOIST_PLATFORM
  --output text|json   form of the output
  --timeout SECONDS    time for a change to be in force, 8 if not given
  -q, --quiet          print errors only
  -v, --verbose        print details
  -h, --help           show help
  -V, --version        show the version

BULRUSHHOIST_OPERATOR_TOKEN holds the token for the daemons' operator addresses.

exit codes: 0 done, 1 failed, 2 bad usage or files, 3 files differ (diff),
4 conflict with another operator, 5 stored but not in force in time,
6 not known whether it was stored, 7 refused, 8 not found
";

const APPLY: &str = "\
usage: bulrushhoist apply DIR [--base GENERATION] [--wait] [--timeout SECONDS]

Checks every .toml file of DIR as a whole; if one has a problem, all problems
are shown and nothing is stored. Otherwise the files become the configuration
in one conditional update. If another operator stored one in between, nothing
is overwritten: the difference is shown and the exit code is 4.

  --base GENERATION  fail with a conflict unless this generation is stored
  --wait             wait until every daemon has it in force
";

const DATA_CENTRE: &str = "\
usage: bulrushhoist data-centre out NAME [--force]
       bulrushhoist data-centre in NAME
       bulrushhoist data-centre list

`out` first shows how many serving replicas of each workload remain, and
refuses (exit code 7) if one would have none left, unless --force is given.
The state is kept apart from the configuration: applying files changes nothing
about it.
";

const CHECK: &str = "\
usage: bulrushhoist check DIR

Checks every .toml file of DIR as a whole and shows every problem with file,
line, key, what was found and what is allowed. Needs no platform.
";

const DIFF: &str = "\
usage: bulrushhoist diff DIR

Shows which files and lines of DIR differ from the stored configuration. The
exit code is 3 if any does.
";

const STATUS: &str = "\
usage: bulrushhoist status [-v]

Shows each daemon's generation in force, and each group that is not serving
with the reason. With -v, every group and its members.
";

const REQUESTS: &str = "\
usage: bulrushhoist requests explain ID

Asks every daemon what it remembers of a request; ID is the x-request-id of
the answer. Daemons remember their last 4,000 requests.
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
