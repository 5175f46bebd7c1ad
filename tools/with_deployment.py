#!/usr/bin/env python3
"""Runs a command against a deployment of separate processes.

usage: tools/with_deployment.py DEPLOYMENT DATA_CENTRES DOMAINS VMS DAEMONS
           [ENDPOINT OPTION ...] -- COMMAND ... [--then COMMAND ...]

In a command, {entry} and {operator} stand for the first daemon's caller and
operator addresses, {control} for the control address of the endpoints and
{platform} for the address of the platform. Unless endpoint options are given,
endpoints are behind proxies, so that every fault can be injected. Afterwards it
prints each daemon's processor time and memory.
"""

import subprocess
import sys
import time

from fleet import Fleet, cpu_seconds, memory_mb, program

# Time for the groups to form after the daemons are ready.
GROUP_FORMATION_S = 12


def commands(arguments):
    """Splits a list of arguments at each --then."""
    while "--then" in arguments:
        at = arguments.index("--then")
        yield arguments[:at]
        arguments = arguments[at + 1:]
    yield arguments


def main():
    if "--" not in sys.argv:
        raise SystemExit(__doc__)
    at = sys.argv.index("--")
    deployment, data_centres, domains, vms, count, *options = sys.argv[1:at]
    with Fleet(deployment, data_centres, domains, vms, int(count), options or ["--relays"]) as fleet:
        time.sleep(GROUP_FORMATION_S)
        first = fleet.daemons[0]
        placeholders = {
            "entry": first.caller, "control": fleet.control,
            "platform": fleet.platform, "operator": first.operator,
        }
        before = [cpu_seconds(d.pid) for d in fleet.daemons]
        start = time.time()
        status = 0
        for command in commands(sys.argv[at + 1:]):
            arguments = [argument.format(**placeholders) for argument in command]
            arguments[0] = program(arguments[0])
            status = max(status, subprocess.run(arguments).returncode)
        elapsed = time.time() - start
        for daemon, cpu in zip(fleet.daemons, before):
            share = 100 * (cpu_seconds(daemon.pid) - cpu) / elapsed
            print(f"daemon {daemon.caller}: {share:.1f}% of a core, {memory_mb(daemon.pid):.1f} MB")
    raise SystemExit(status)


if __name__ == "__main__":
    main()
