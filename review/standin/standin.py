"""Stand-ins for a small deployment: store, replicas, platform and callers.

They speak what PROTOCOL.md and DEPLOY.md of the users' pages say, on loopback addresses. A
case starts one deployment, disturbs it, and judges what callers and replicas saw.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "bulrushhoist-entry")
HOST = "shop.example"
KEY = "key-1"
TENANT = "bench"
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_S = 1.2
STALL_S = 4.0
JOIN_S = 0.2
# Time for which the store keeps its history.
HISTORY_S = 20
# Longer than any case.
LONG_S = 600
# Requests that a head runs at once.
SLOTS = 8
EVENTS = 20
EVENT_PAUSE_S = 0.05
# Time that a request of the plain service takes.
PLAIN_S = 0.06

REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed"}


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Message:
    """A head with its body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_request(reader):
    first, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return head(status, {**(headers or {}), "Content-Length": len(body)}) + body


async def listen(address, handle):
    """Serves connections. `handle(message, writer)` returns whether to keep the connection."""
    writers = set()

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_request(reader)
                if not await handle(message, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, *address, limit=1 << 20)
    server.writers = writers
    return server


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()
        # Channels whose bytes go nowhere any more, in either direction.
        self.silent = set()
        self.server = None

    def silence_channels(self):
        """Makes the open channels silent for good. New ones work."""
        self.silent |= self.server.writers

    def forget_history(self):
        """Drops the changes that are older than the history, and returns the first kept."""
        oldest = time.monotonic() - HISTORY_S
        while self.events and self.events[0][3] < oldest:
            self.first_kept = self.events.pop(0)[0]
        return self.first_kept

    first_kept = 0

    @staticmethod
    def object(name, revision, spec):
        meta = {"Name": name, "Revision": revision, "Created": 1, "Finalizers": []}
        return {"Metadata": meta, "Spec": spec, "Status": None}

    async def put(self, kind, name, spec):
        old = self.kinds.setdefault(kind, {}).get(name)
        if old and old[1] == spec:
            return self.object(name, *old)
        self.revision += 1
        self.kinds[kind][name] = (self.revision, spec)
        made = self.object(name, self.revision, spec)
        event = {"Object": made, "Deleted": False}
        self.events.append((self.revision, kind, event, time.monotonic()))
        async with self.changed:
            self.changed.notify_all()
        return made

    async def remove(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return
        self.revision += 1
        event = {"Object": self.object(name, self.revision, old[1]), "Deleted": True}
        self.events.append((self.revision, kind, event, time.monotonic()))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if after < self.forget_history():
                return answer(410)
            found = [e for r, k, e, _ in self.events if k == kind and r > after]
            left = end - time.monotonic()
            if found or left <= 0:
                return answer(200, {"events": found, "AsOf": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, message, writer):
        made = await self.answer(message)
        if writer in self.silent:
            await asyncio.sleep(LONG_S)
            return False
        writer.write(made)
        return True

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        values = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.removeprefix("/-/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.get(kind, {})
        if method == "GET" and "Watch" in values:
            wait_s = int(values.get("WaitMs", 0)) / 1000
            return await self.watch(kind, int(values["Watch"]), wait_s)
        if method == "GET" and name is None:
            items = [self.object(n, *o) for n, o in sorted(objects.items())]
            return answer(200, {"Items": items, "More": False, "AsOf": self.revision})
        if method == "GET":
            found = objects.get(name)
            return answer(200, self.object(name, *found)) if found else answer(404)
        sent = json.loads(message.body)
        expected = sent["Metadata"].get("Revision")
        target = name or sent["Metadata"]["Name"]
        old = objects.get(target)
        if name is not None and old is None:
            return answer(404)
        if old and (name is None or expected not in (None, old[0])):
            return answer(409, self.object(target, *old))
        return answer(200, await self.put(kind, target, sent["Spec"]))


class Replica:
    """A replica: a plain one, or one that serves a model as the head of a group."""

    def __init__(self, deployment, name, address, engine):
        self.deployment = deployment
        self.name = name
        self.address = address
        self.engine = engine
        self.zone = ZONES[len(deployment.replicas) % len(ZONES)]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.seen_epoch = 0
        self.group = None
        self.staged = []
        self.model = None
        self.state = "ready"
        self.alive = True
        self.active = 0
        self.faults = None

    async def start(self):
        self.server = await listen(self.address, self.handle)
        await self.register()

    async def crash(self, down_s):
        """Ends the replica without notice. It starts again and knows nothing of before."""
        self.deployment.record.note(f"{self.name} crashes")
        self.alive = False
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        self.group = self.model = None
        self.sequence = self.seen_epoch = 0
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.alive = True
        await self.start()
        self.deployment.record.note(f"{self.name} is back")

    def record(self):
        spec = {
            "Service": self.deployment.service if self.engine else "ledger",
            "Address": "%s:%d" % self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.engine:
            spec.update(Domain="d1", Staged=self.staged, **self.groups())
        return spec

    def groups(self):
        models = [{"Name": self.model, "Version": 1, "Adapters": []}] if self.model else []
        group = None
        if self.group:
            group = {k: self.group[k] for k in ("Name", "epoch", "State")}
            group["rank"] = self.group["Members"].index(self.name)
        return {"Models": models, "group": group}

    async def register(self):
        await self.deployment.store.put("servers", self.name, self.record())

    async def handle(self, message, writer):
        method, path, _ = message.first.split(" ")
        expected = message.get("x-expect-instance")
        request = message.get("x-request-id")
        echo = {"X-Request-Id": request} if request else {}
        if expected not in (None, self.name):
            writer.write(answer(421, b"", {**echo, "X-Instance-Id": self.name}))
        elif path == "/-/report":
            report = {"Stage": "both", "Busy": False, "Sequence": self.sequence, "Queued": 0}
            report.update(Active=0, KvUsed=0, KvTotal=100000, Handles=0, born=self.born)
            writer.write(answer(200, {**report, **self.groups()}, echo))
        elif path == "/-/order":
            status = await self.order(json.loads(message.body))
            writer.write(answer(status, b"", echo))
        elif path == "/healthz":
            writer.write(answer(200, b"", {**echo, "X-Instance-Id": self.name}))
        elif request is None:
            writer.write(answer(400, b"", {"X-Not-Executed": "1"}))
        elif self.engine and not (self.group and self.group["State"] == "open"):
            writer.write(answer(503, b"", {**echo, "X-Not-Executed": "1"}))
        else:
            return await self.run(message, request, writer)
        return True

    async def order(self, order):
        group, epoch = order.get("group"), order.get("epoch", 0)
        own = self.group and (self.group["Name"], self.group["epoch"]) == (group, epoch)
        self.deployment.record.note(f"order {order['Op']} {group}/{epoch} to {self.name}")
        if order["Op"] == "join":
            if epoch < self.seen_epoch:
                return 412
            if own:
                return 200 if self.group["Members"] == order["Members"] else 412
            self.seen_epoch = epoch
            self.check_two(group, epoch)
            self.group = {"Name": group, "epoch": epoch, "Members": order["Members"]}
            self.group["State"] = "joining"
            asyncio.ensure_future(self.set_state(self.group, "ready", JOIN_S, order["Model"]))
        elif order["Op"] == "open" and own and self.group["State"] == "ready":
            asyncio.ensure_future(self.set_state(self.group, "open", 0.05))
        elif order["Op"] == "open" and own and self.group["State"] == "open":
            return 200
        elif order["Op"] == "close" and own and self.group["State"] == "open":
            self.group["State"] = "closing"
            asyncio.ensure_future(self.close(self.group))
        elif order["Op"] == "leave" and own:
            self.group = None
        else:
            return 409
        self.sequence += 1
        await self.register()
        return 200 if order["Op"] == "leave" else 202

    async def close(self, group):
        """Finishes the streams, then returns to ready."""
        while self.active:
            await asyncio.sleep(0.02)
        await self.set_state(group, "ready", 0)

    def check_two(self, group, epoch):
        """Records a join of another group while the head of the own one is open or closing."""
        if self.group is None or self.group["Name"] == group:
            return
        own, replicas = self.group, self.deployment.replicas
        at = replicas[own["Members"][0]].group
        if at and at["Name"] == own["Name"] and at["epoch"] == own["epoch"]:
            if at["State"] in ("open", "closing"):
                what = (f"{self.name} takes a join of {group}/{epoch} while {own['Members'][0]}, "
                        f"the head of {own['Name']}/{own['epoch']}, is {at['State']}")
                self.deployment.record.note(what)
                self.deployment.two.append(what)

    def is_complete(self):
        """Returns whether every member of the own group is alive and still in it."""
        own = self.group
        members = [self.deployment.replicas[name] for name in own["Members"]] if own else []
        joined = [(m.group["Name"], m.group["epoch"]) for m in members if m.alive and m.group]
        return bool(own) and joined == [(own["Name"], own["epoch"])] * len(members)

    async def wait_complete(self, own):
        """Stands still while a member is missing, and is broken after StallMs. Returns whether
        the replica is still the head of the group that began the work."""
        end = time.monotonic() + STALL_S
        while self.group is own and time.monotonic() < end:
            if self.is_complete():
                return True
            await asyncio.sleep(0.02)
        if self.group is own and own["State"] == "open":
            own["State"] = "broken"
            await self.register()
        return False

    async def set_state(self, group, state, after_s, model=None):
        await asyncio.sleep(after_s)
        if self.group is not group:
            return
        group["State"] = state
        if model:
            self.model, self.staged = model, [model]
        await self.register()

    async def run(self, message, request, writer):
        if self.engine and not await self.wait_for_slot():
            self.deployment.shed.append(request)
            self.deployment.record.note(f"{self.name} sheds {request}, it hasn't run")
            echo = {"X-Request-Id": request, "X-Not-Executed": "1"}
            writer.write(answer(503, b"", echo))
            return True
        self.deployment.on_run(self, request, message)
        if self.faults and (kept := await self.faults(self, message, request, writer)) is not None:
            return kept
        proof = {"X-Request-Id": request, "X-Response-Stamp": f"{self.name}.{request}"}
        if not self.engine:
            await asyncio.sleep(PLAIN_S)
            writer.write(answer(200, f"done {request}".encode(), proof))
            return True
        self.active += 1
        try:
            return await self.stream(message, request, writer, proof)
        finally:
            self.active -= 1

    async def wait_for_slot(self):
        """Waits in the queue. Returns whether the request may begin: a head that is closing
        begins nothing new."""
        while self.group and self.group["State"] == "open":
            if self.active < SLOTS:
                return True
            await asyncio.sleep(0.01)
        return False

    async def stream(self, message, request, writer, proof):
        own = self.group
        first = int(message.get("last-event-id", "0")) + 1
        events = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head(200, {**proof, **events}))
        for n in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            if not await self.wait_complete(own):
                return False
            event = event_text(request, n)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


def event_text(request, number):
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def whole_stream(request, first=1):
    return b"".join(event_text(request, n) for n in range(first, EVENTS + 1))


class Entry:
    """A process of the project, started as the deploy file says."""

    def __init__(self, deployment, number, name=None, zone=None, cpu=0.25):
        ip = deployment.ip(160 + number)
        self.deployment = deployment
        self.name = name or f"entry-{number}"
        self.zone = zone or ZONES[number % len(ZONES)]
        self.cpu = cpu
        self.front, self.readiness, self.directory = (ip, 8227), (ip, 8220), (ip, 8224)
        self.metrics = (ip, 9464)
        self.settings = os.path.join(deployment.folder, f"{self.name}.json")
        self.log = os.path.join(deployment.folder, f"{self.name}.log")
        self.child = None
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.fields(ip), file)

    def fields(self, ip):
        at = "%s:%d"
        return {
            "NodeName": self.name, "Role": "entry", "MachineClass": "edge",
            "Serves": ["edge", "registry"], "Ip": ip, "Zone": self.zone, "Region": "region",
            "Zones": {zone: "region" for zone in ZONES},
            "Listen": {"Front": at % self.front, "Readiness": at % self.readiness,
                       "Control": f"{ip}:8229", "Directory": at % self.directory},
            "PortRange": [7340, 7355], "Seeds": [], "Bootstrap": True, "InTolerance": False,
            "Limits": {"CpuFraction": self.cpu, "Cores": 1, "MemoryMb": MEMORY_MB, "MaxFds": 4100,
                       "LinkMbps": LINK_MBPS, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "registry", "HeartbeatMs": 1200,
            "Invariants": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                           "stream", "tenants", "places", "platform", "gangs"],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": self.deployment.bounds,
            "Platform": {"Address": at % self.deployment.store_address, "form": "objects",
                         "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "TtlMinMs": 1000},
        }

    async def start(self):
        log = open(self.log, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "BULRUSHHOIST_NODE_FILE": self.settings}
        self.child = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    def memory_mb(self):
        """Returns the resident memory of the process, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


# Bounds, memory and link of the machines of the site that the cases name.
MEMORY_MB = 260
LINK_MBPS = 1000.0
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000, "DowngradeMs": 250,
    "PartitionMs": 5000, "FailClosed": False, "RevokeMs": 5000, "RetryRatio": 0.2,
    "RetryWindowS": 10, "RetrySlack": 132, "ColdOvershoot": 1.5, "ColdSlack": 5,
    "EvacuateMs": 5000, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0, "StallMs": 4000,
    "Fencing": False, "CeilingWindowS": 5, "CeilingOvershoot": 1.1, "ttl_max_s": 5,
}


def manifest(version, keys=(KEY,), more_routes=0, service="engines", size=2):
    def route(name, kind, service, attempts, timeout_ms):
        return {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Type": kind,
                "TimeoutMs": timeout_ms, "SloMs": 500, "Priority": 1,
                "Service": service, "MaxAttempts": attempts,
                "Public": False, "StreamResume": kind == "streaming", "GapTargetMs": 300,
                "SessionAffinity": kind == "streaming"}

    model = {"Name": "large", "size": size, "pace": 1.0, "Share": 1.0, "LoadS": 0.2, "WarmS": 0.2}
    engine = {"Slots": SLOTS, "KvCapacity": 100000, "Stride": 5, "step_ms": 2.0, "per_seq_ms": 0.1,
              "context_per_k": 0.005, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 512,
              "LoadsPerS": 40.0, "loads_at_once": 6, "usual": {"prompt": 100, "answer": 60},
              "Keeps": 1, "far_x": 2.5, "FormMs": 50.0, "report_lag_ms": 200.0,
              "Models": [model]}
    return {
        "Version": version,
        "Routes": [route("drafts", "streaming", service, 2, 6000),
                   route("deposits", "unsafe", "ledger", 1, 4000),
                   route("tickets", "safe", "ledger", 2, 4000)]
        + [route(f"more{n}", "safe", "ledger", 2, 4000) for n in range(more_routes)],
        "Services": [
            {"Name": service, "HealthPath": "/healthz", "MaxConnections": 300,
             "ColdPerS": 0.0, "Engine": engine},
            {"Name": "ledger", "HealthPath": "/healthz", "MaxConnections": 100}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": list(keys), "Priority": 1}],
    }


class Reply:
    """What a caller saw: status, headers and body, and whether the body was complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = None, {}, b"", False
        self.kept = False


class Channel:
    """A caller's connection to an entry, which it keeps for many requests."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.reader = self.writer = None
        self.answered = 0

    async def call(self, route, request, body=b"{}", deadline_ms=6000, path="1", key=KEY):
        """Sends a request and reads its answer. A broken connection is closed."""
        record, reply = self.deployment.record, Reply()
        record.note(f"sent {request} {route} to {self.entry.name}")
        try:
            if self.writer is None:
                opened = asyncio.open_connection(*self.entry.front, limit=1 << 20)
                self.reader, self.writer = await asyncio.wait_for(opened, 1)
            reply.kept = self.answered > 0
            self.writer.write(request_head(route, request, len(body), deadline_ms, path, key) + body)
            reading = Deployment.read_reply(self.reader, reply)
            await asyncio.wait_for(reading, deadline_ms / 1000 + 2)
            self.answered += 1
        except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
            record.note(f"broken {request} {type(error).__name__}")
            self.close()
        stamp = reply.headers.get("x-response-stamp", "none")
        record.note(f"answer {request} status {reply.status} stamp {stamp} "
                    f"complete {reply.complete} bytes {len(reply.body)}")
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.answered = 0


def request_head(route, request, length, deadline_ms, path, key):
    fields = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": deadline_ms,
              "Authorization": f"Bearer {key}", "Content-Length": length}
    if route == "drafts":
        fields.update({"X-Model": "large", "X-Token-Usage": "100,100",
                       "X-Prefix-Hash": f"aa:40,{abs(hash(request)):x}:60"})
    lines = [f"POST /{route}/{path} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Deployment:
    """A store, replicas and entries on loopback addresses of their own."""

    def __init__(self, record, entries=3, engines=6, ledgers=3, bounds=None, machines=None,
                 service="engines", size=2):
        self.record = record
        self.service, self.size = service, size
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.temporary = tempfile.TemporaryDirectory(prefix="bulrush-review-")
        self.folder = self.temporary.name
        self.base = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        self.store_address = (self.ip(5), 8223)
        self.store = Store()
        self.runs = {}
        # Requests that a head shed from its queue.
        self.shed = []
        # Joins that break the rule `TWO`.
        self.two = []
        # The machines by name, zone and share of a core, or so many like each other.
        machines = machines or [(None, None, 0.25)] * entries
        self.entries = [Entry(self, n, *m) for n, m in enumerate(machines, 1)]
        self.probed = self.entries[:3]
        names = [(f"vm-{n}", 100 + n, True) for n in range(engines)]
        names += [(f"ledger-{n}", 130 + n, False) for n in range(ledgers)]
        self.replicas = {}
        for name, host, engine in names:
            self.replicas[name] = Replica(self, name, (self.ip(host), 8080), engine)

    def ip(self, host):
        return f"{self.base}.{host}"

    async def remove_entry(self, entry):
        """Removes a machine for good."""
        self.record.note(f"{entry.name} is removed for good")
        entry.signal(9)
        await entry.child.wait()
        self.entries.remove(entry)

    def on_run(self, replica, request, message):
        self.runs.setdefault(request, []).append((replica.name, time.monotonic()))
        self.record.note(f"run {request} at {replica.name} {message.first}")

    def runs_at(self, replica):
        """Returns the requests that ran at a replica, and when each began."""
        for request, runs in self.runs.items():
            yield from ((request, at) for name, at in runs if name == replica)

    async def start(self):
        first = manifest(1, service=self.service, size=self.size)
        await self.store.put("config", "main", first)
        self.store.server = await listen(self.store_address, self.store.handle)
        for replica in self.replicas.values():
            await replica.start()
        for entry in self.entries:
            await entry.start()
        await self.until("every entry ready", self.all_ready, 30)

    async def all_ready(self):
        if not await asyncio.gather(*[self.is_ready(e) for e in self.entries]):
            return False
        for number, entry in enumerate(self.probed):
            reply = await self.call(entry, "drafts", f"probe-{number}-{time.monotonic_ns()}")
            if reply.status != 200 or not reply.complete:
                return False
        return True

    async def is_ready(self, entry):
        try:
            reader, writer = await asyncio.open_connection(*entry.readiness)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def until(self, what, check, limit_s):
        end = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.1)

    async def call(self, entry, route, request, **options):
        """Sends one request on a new connection and reads its answer."""
        channel = Channel(self, entry)
        try:
            return await channel.call(route, request, **options)
        finally:
            channel.close()

    @staticmethod
    async def read_reply(reader, reply):
        first, reply.headers = await read_head(reader)
        reply.status = int(first.split(" ")[1])
        if reply.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                reply.body += chunk
        else:
            reply.body = await reader.readexactly(int(reply.headers.get("content-length", "0")))
        reply.complete = True

    async def stop(self):
        for entry in self.entries:
            if entry.child and entry.child.returncode is None:
                entry.child.kill()
                await entry.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                os.replace(entry.log, os.path.join(keep, f"{entry.name}.log"))
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case could not be played."""


class Broken(Exception):
    """The rule was broken."""


def main(folder, play, limit_s=110):
    """Plays a case and exits with 0 if the rule held, 1 if not and 2 if it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble {'on' if trouble else 'off'}")

    async def run():
        deployments = []
        try:
            await asyncio.wait_for(play(record, trouble, deployments), limit_s)
            return 0, "rule held"
        except Broken as broken:
            return 1, f"rule broken: {broken}"
        except CannotRun as error:
            return 2, f"could not run: {error}"
        except Exception as error:
            traceback.print_exc(file=record.file)
            return 2, f"could not run: {type(error).__name__} {error}"
        finally:
            for deployment in deployments:
                await deployment.stop()

    code, verdict = asyncio.run(run())
    record.note(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)
