"""A faulty replica answers a streaming request with a failure whose body never ends."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from standin import BOUNDS, LINK_MBPS, MEMORY_MB, Broken, Channel, Deployment, head, main

# The faulty answer comes at the speed of one machine's link.
SLICE_S = 0.02
SLICE = b"\xa5" * int(LINK_MBPS * 1e6 / 8 * SLICE_S)
FAULTY = "faulty"
# Machines that get such an answer, and how often.
MACHINES = 2
ROUNDS = 3
# Answers that may be lost before the rule is broken.
LOST_ANSWERS = 3
# Callers of the plain service at each of the machines.
CALLERS = 8


async def endless_failure(replica, message, request, writer):
    """Answers with a failure and bytes that end only when the caller closes."""
    if not request.startswith(FAULTY):
        return None
    stamp = {"X-Request-Id": request, "X-Response-Stamp": f"{replica.name}.{request}"}
    writer.write(head(500, stamp))
    sent = 0
    try:
        while not writer.is_closing():
            writer.write(SLICE)
            await writer.drain()
            sent += len(SLICE)
            await asyncio.sleep(SLICE_S)
    except OSError:
        pass
    replica.deployment.record.note(f"{replica.name} wrote {sent >> 20} MB for {request}")
    return False


class Machine:
    """What the platform does on one machine: limits its memory and starts it again."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.ends = 0
        self.most = 0.0

    async def watch(self):
        note = self.deployment.record.note
        while True:
            self.most = max(self.most, self.entry.memory_mb())
            ended = self.entry.child.returncode is not None
            if self.most > MEMORY_MB or ended:
                note(f"{self.entry.name} uses {self.most:.0f} MB and is killed")
                self.ends += 1
                self.entry.signal(9)
                await self.entry.child.wait()
                self.most = 0.0
                await self.entry.start()
            await asyncio.sleep(0.02)


class Callers:
    """Callers of the unsafe route, which keep their connections."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.lost = []

    async def work(self, number):
        channel, count = Channel(self.deployment, self.entry), 0
        while True:
            count += 1
            request = f"deposit-{self.entry.name}-{number}-{count}"
            reply = await channel.call("deposits", request, deadline_ms=4000)
            if reply.status is None and reply.kept and request in self.deployment.runs:
                self.lost.append(request)
            await asyncio.sleep(0.02 if reply.complete else 0.3)


async def play(record, trouble, deployments):
    deployment = Deployment(record)
    deployments.append(deployment)
    await deployment.start()
    entries = deployment.entries[:MACHINES]
    machines = [Machine(deployment, e) for e in entries]
    callers = [Callers(deployment, e) for e in entries]
    tasks = [asyncio.ensure_future(m.watch()) for m in machines]
    tasks += [asyncio.ensure_future(c.work(n)) for c in callers for n in range(CALLERS)]
    for replica in deployment.replicas.values():
        if replica.engine and trouble:
            replica.faults = endless_failure
    for round in range(ROUNDS):
        for entry in entries:
            await deployment.until(f"{entry.name} ready", lambda: deployment.is_ready(entry), 15)
            await asyncio.sleep(BOUNDS["ContactMs"] / 1000)
            kind = FAULTY if trouble else "sound"
            await deployment.call(entry, "drafts", f"{kind}-{entry.name}-{round}")
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    lost = sum((c.lost for c in callers), [])
    for request in lost:
        record.note(f"lost {request}: it ran, and its kept connection closed without an answer")
    ends = [m.ends for m in machines]
    record.note(f"ends by machine {ends}, lost answers {len(lost)}")
    if len(lost) > LOST_ANSWERS:
        raise Broken(f"LOST, {len(lost)} requests that ran got no answer; processes of "
                     f"{len(ends)} machines ended {ends} times")


main(FOLDER, play)
