#!/usr/bin/env python3
"""Compares tickets with idempotency keys by latency and platform writes per call.

usage: tools/measure_guards.py DEPLOYMENT DATA_CENTRES DOMAINS VMS DAEMONS CALLS
"""

import http.client
import json
import sys
import time
import urllib.request

from fleet import Fleet

# Time for the groups to form after the daemons are ready.
GROUP_FORMATION_S = 12
TOKEN = "Bearer nashville-example-token"


def writes(platform):
    with urllib.request.urlopen(f"http://{platform}/v1/counters") as answer:
        return json.load(answer)["writes"]


def call(connection, method, path, body, headers):
    connection.request(method, path, body, {"authorization": TOKEN, **headers})
    answer = connection.getresponse()
    content = answer.read()
    if answer.status != 200:
        raise SystemExit(f"{answer.status}: {content.decode()}")
    return content


def measure(fleet, name, calls, headers_per_call):
    connection = http.client.HTTPConnection(fleet.daemons[0].caller)
    times = []
    before, start = writes(fleet.platform), time.time()
    for number, headers in zip(range(calls), headers_per_call):
        body = json.dumps({"call": f"{name}-{number}"})
        sent = time.time()
        call(connection, "POST", "/v1/services/counter/deposits", body, headers)
        times.append(1000 * (time.time() - sent))
    lease_writes = LEASE_WRITES_PER_S * (time.time() - start)
    per_call = (writes(fleet.platform) - before - lease_writes) / calls
    times.sort()
    print(
        f"{name}: p50 {times[calls // 2]:.2f} ms, p95 {times[calls * 95 // 100]:.2f} ms, "
        f"{max(0, per_call):.2f} platform writes per call"
    )


# The controllers of the two data centres each renew their lease every 1.5 s. These writes
# are not part of a call.
LEASE_WRITES_PER_S = 2 / 1.5


def main():
    deployment, data_centres, domains, vms, count, calls = sys.argv[1:]
    calls = int(calls)
    with Fleet(deployment, data_centres, domains, vms, int(count)) as fleet:
        time.sleep(GROUP_FORMATION_S)
        connection = http.client.HTTPConnection(fleet.daemons[0].caller)
        answer = call(connection, "POST", f"/v1/tickets?count={calls}", None, {})
        tickets = json.loads(answer)["tickets"]
        measure(fleet, "tickets", calls, ({"ticket": t} for t in tickets))
        keys = ({"idempotency-key": f"key-{n}"} for n in range(calls))
        measure(fleet, "keys", calls, keys)


if __name__ == "__main__":
    main()
