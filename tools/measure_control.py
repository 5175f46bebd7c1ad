#!/usr/bin/env python3
"""Measures the control cost per daemon at several fleet sizes, without load.

usage: tools/measure_control.py DEPLOYMENT DATA_CENTRES DOMAINS VMS SECONDS N [N ...]

Starts the stand-ins and N daemons as processes of this script (release build),
waits until they are current, and reads over SECONDS: processor time and memory
from /proc, bytes of peer messages and calls to the platform from /metrics.
Prints one line per N with the mean and the worst daemon.
"""

import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

PROGRAMS = os.path.join(os.path.dirname(__file__), "..", "target", "release")
TICKS = os.sysconf("SC_CLK_TCK")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def start(name, *arguments):
    return subprocess.Popen(
        [os.path.join(PROGRAMS, name), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def first_address(process):
    return process.stdout.readline().split()[-1]


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) / 1024


def counter(operator, name):
    url = f"http://127.0.0.1:{operator}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    lines = [l for l in text.splitlines() if l.startswith(name)]
    return sum(float(l.rsplit(" ", 1)[1]) for l in lines)


def ready(operator):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{operator}/readyz", timeout=2):
            return True
    except OSError:
        return False


def settings(platform, data_centre, ports):
    caller, peer, operator = ports
    return (
        f'data-centre = "{data_centre}"\nplatform = "{platform}"\n'
        f'[listen]\ncaller = "127.0.0.1:{caller}"\npeer = "127.0.0.1:{peer}"\n'
        f'operator = "127.0.0.1:{operator}"\n[security]\ninsecure = true\n'
        '[log]\nlevel = "error"\n'
    )


def measure(deployment, data_centres, domains, vms, seconds, count):
    processes = []
    try:
        platform_process = start("bulrushhoist-standin", "platform")
        processes.append(platform_process)
        platform = first_address(platform_process)
        endpoints = start(
            "bulrushhoist-standin", "endpoints", "--platform", platform,
            "--data-centres", data_centres, "--domains", domains, "--vms", vms,
        )
        processes.append(endpoints)
        first_address(endpoints)
        daemons = []
        names = data_centres.split(",")
        with tempfile.TemporaryDirectory() as directory:
            for at in range(count):
                ports = (free_port(), free_port(), free_port())
                path = os.path.join(directory, f"{at}.toml")
                with open(path, "w") as f:
                    f.write(settings(platform, names[at % len(names)], ports))
                process = start("bulrushhoistd", path)
                processes.append(process)
                daemons.append((process.pid, ports[2]))
            environment = dict(os.environ, BULRUSHHOIST_PLATFORM=platform)
            subprocess.run(
                [os.path.join(PROGRAMS, "bulrushhoist"), "-q", "apply", deployment],
                check=True, env=environment,
            )
            deadline = time.time() + 90
            while not all(ready(operator) for _, operator in daemons):
                if time.time() > deadline:
                    raise SystemExit(f"{count} daemons are not ready in time")
                time.sleep(0.5)
            time.sleep(15)
            before = [
                (cpu_seconds(pid), counter(op, "bulrushhoist_peer_bytes"),
                 counter(op, "bulrushhoist_platform_calls"), counter(op, "bulrushhoist_probes"))
                for pid, op in daemons
            ]
            start_time = time.time()
            time.sleep(seconds)
            span = time.time() - start_time
            rows = []
            for (pid, op), (cpu, sent, calls, probes) in zip(daemons, before):
                rows.append((
                    100 * (cpu_seconds(pid) - cpu) / span,
                    memory_mb(pid),
                    (counter(op, "bulrushhoist_peer_bytes") - sent) / span,
                    (counter(op, "bulrushhoist_platform_calls") - calls) / span,
                    (counter(op, "bulrushhoist_probes") - probes) / span,
                ))
            mean = [sum(column) / len(rows) for column in zip(*rows)]
            worst = [max(column) for column in zip(*rows)]
            total_calls = sum(row[3] for row in rows)
            print(
                f"{count:3} daemons: cpu {mean[0]:.2f}% (worst {worst[0]:.2f}%), "
                f"memory {mean[1]:.1f} MB (worst {worst[1]:.1f}), "
                f"peer bytes {mean[2]:.0f} B/s (worst {worst[2]:.0f}), "
                f"probes {mean[4]:.1f}/s, platform calls {mean[3]:.2f}/s, {total_calls:.1f}/s in all",
                flush=True,
            )
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main():
    if len(sys.argv) < 7:
        raise SystemExit(__doc__)
    deployment, data_centres, domains, vms, seconds = sys.argv[1:6]
    for count in sys.argv[6:]:
        measure(deployment, data_centres, domains, vms, float(seconds), int(count))


if __name__ == "__main__":
    main()
