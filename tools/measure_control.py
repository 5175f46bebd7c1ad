#!/usr/bin/env python3
"""Measures the control cost per daemon for several numbers of daemons, without load.

usage: tools/measure_control.py DEPLOYMENT DATA_CENTRES DOMAINS VMS SECONDS N [N ...]

For each N it starts the stand-ins and N daemons (release build), waits until they
are ready, and measures for SECONDS: processor time and memory from /proc; bytes
of peer messages, endpoint probes and platform calls from /metrics. It prints one
line per N with the mean over the daemons and the highest value of one daemon.
"""

import sys
import time

from fleet import Fleet, cpu_seconds, memory_mb

WARM_UP_S = 15
COUNTERS = ("bulrushhoist_peer_bytes", "bulrushhoist_platform_calls", "bulrushhoist_probes")


def measure(deployment, data_centres, domains, vms, seconds, count):
    with Fleet(deployment, data_centres, domains, vms, count) as fleet:
        time.sleep(WARM_UP_S)
        before = [
            (cpu_seconds(d.pid), [d.counter(name) for name in COUNTERS]) for d in fleet.daemons
        ]
        start = time.time()
        time.sleep(seconds)
        elapsed = time.time() - start
        rows = []
        for daemon, (cpu, counts) in zip(fleet.daemons, before):
            rates = [(daemon.counter(n) - b) / elapsed for n, b in zip(COUNTERS, counts)]
            cpu_share = 100 * (cpu_seconds(daemon.pid) - cpu) / elapsed
            rows.append((cpu_share, memory_mb(daemon.pid), *rates))
    mean = [sum(column) / len(rows) for column in zip(*rows)]
    worst = [max(column) for column in zip(*rows)]
    print(
        f"{count:3} daemons: cpu {mean[0]:.2f}% (worst {worst[0]:.2f}%), "
        f"memory {mean[1]:.1f} MB (worst {worst[1]:.1f}), "
        f"peer bytes {mean[2]:.0f} B/s (worst {worst[2]:.0f}), "
        f"probes {mean[4]:.1f}/s, platform calls {mean[3]:.2f}/s, "
        f"{sum(row[3] for row in rows):.1f}/s in all",
        flush=True,
    )


def main():
    if len(sys.argv) < 7:
        raise SystemExit(__doc__)
    deployment, data_centres, domains, vms, seconds = sys.argv[1:6]
    for count in sys.argv[6:]:
        measure(deployment, data_centres, domains, vms, float(seconds), int(count))


if __name__ == "__main__":
    main()
