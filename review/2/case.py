"""Most machines are removed for good, and replicas crash after that."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from standin import Broken, Deployment, main

# Bounds of the site.
BOUNDS = {"ContactMs": 4000, "AckMs": 6000, "CatchUpS": 6, "DrainMs": 3000, "ConfigMs": 3000,
          "PartitionMs": 6000, "RecoverS": 15, "PassMs": 200, "RetrySlack": 272}
# Machines of the site by zone, the first two of each zone with half a core and the others
# with 0.12. The last of each zone stays.
MACHINES = {"a": 21, "b": 20, "c": 24}
LARGE = 2
# Time for which a crashed replica is down.
DOWN_S = 4.5
PAUSE_S = 2.0
# Time from the removals until callers begin, and from then until a replica crashes.
SETTLE_S = 5
CALM_S = 8
# Time after which a caller comes back that was refused.
REFUSED_S = 1.0
# Part of the requests that must be served after the final fault.
SERVED = 0.25
MEASURE_S = 12
# Requests for the model and for the plain service in each round, as on the site (9 in 10).
MIX = ["drafts"] * 9 + ["deposits"]


class Load:
    """Callers that send the mix of the site to the machines that are left."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.results = []

    async def work(self, number):
        count = 0
        while True:
            count += 1
            entries = self.deployment.probed
            entry = entries[(number + count) % len(entries)]
            route = MIX[(number + count) % len(MIX)]
            sent = time.monotonic()
            reply = await self.deployment.call(entry, route, f"{route}-{number}-{count}")
            self.results.append((sent, reply.status == 200 and reply.complete))
            await asyncio.sleep(0.2 if reply.complete and reply.status == 200 else REFUSED_S)

    def share(self, since, until):
        results = [ok for sent, ok in self.results if since <= sent < until]
        return sum(results) / max(1, len(results)), len(results)


def site_machines():
    """Returns name, zone and share of a core of each machine."""
    for zone, count in MACHINES.items():
        for number in range(1, count + 1):
            share = 0.5 if number <= LARGE else 0.12
            yield f"edge-southeast-{zone}-{number}", f"zone-{zone}", share


async def play(record, trouble, deployments):
    deployment = Deployment(record, bounds=BOUNDS, machines=list(site_machines()))
    deployments.append(deployment)
    staying = {f"edge-southeast-{zone}-{count}" for zone, count in MACHINES.items()}
    deployment.probed = [e for e in deployment.entries if e.name in staying]
    await deployment.start()
    if trouble:
        for entry in [e for e in deployment.entries if e.name not in staying]:
            await deployment.remove_entry(entry)
    await asyncio.sleep(SETTLE_S)
    load = Load(deployment)
    tasks = [asyncio.ensure_future(load.work(n)) for n in range(6)]
    began = time.monotonic()
    await asyncio.sleep(CALM_S)
    engines = [r for r in deployment.replicas.values() if r.engine]
    for _ in range(len(engines) // 2):
        heads = [r for r in engines if r.group and r.group["State"] == "open"]
        if heads:
            await heads[0].crash(DOWN_S)
        await asyncio.sleep(PAUSE_S)
    before, n = load.share(began, time.monotonic())
    record.note(f"served {before:.2f} of {n} before the final fault")
    record.note("final fault: every process is killed")
    for entry in deployment.entries:
        entry.signal(9)
        await entry.child.wait()
    await asyncio.sleep(0.6)
    for entry in deployment.entries:
        await entry.start()
    back = time.monotonic()
    await asyncio.sleep(BOUNDS["RecoverS"] + MEASURE_S)
    for task in tasks:
        task.cancel()
    after, n = load.share(back + BOUNDS["RecoverS"], time.monotonic())
    record.note(f"served {after:.2f} of {n} later than RecoverS after the machines are back")
    if before >= SERVED > after:
        raise Broken(f"RECOVER, {after:.2f} of {n} requests are served, {before:.2f} before")


main(FOLDER, play)
