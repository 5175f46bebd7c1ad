"""Runs a deployment of stand-ins and daemons as processes, for measurements."""

import os
import re
import socket
import subprocess
import tempfile
import time
import urllib.request

PROGRAM_DIR = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "target", "release")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT_S = 120


def program(name):
    return os.path.join(PROGRAM_DIR, name)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def cpu_seconds(pid):
    """Returns the user and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid):
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status") as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) / 1024


class Daemon:
    """A daemon process with its caller and operator addresses."""

    def __init__(self, pid, caller, operator):
        self.pid = pid
        self.caller = caller
        self.operator = operator

    def counter(self, name):
        """Returns the sum of all metrics whose name starts with `name`."""
        with urllib.request.urlopen(f"http://{self.operator}/metrics", timeout=5) as answer:
            text = answer.read().decode()
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.operator}/readyz", timeout=2):
                return True
        except OSError:
            return False


class Fleet:
    """A running deployment: platform, endpoints and daemons.

    As a context manager it kills every process on exit.
    """

    def __init__(self, deployment, data_centres, domains, vms, count, endpoint_options=()):
        self.processes = []
        self.daemons = []
        self.directory = tempfile.TemporaryDirectory()
        try:
            self.start(deployment, data_centres, domains, vms, count, endpoint_options)
        except BaseException:
            self.__exit__()
            raise

    def start_program(self, name, *arguments):
        process = subprocess.Popen(
            [program(name), *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.processes.append(process)
        return process

    def start(self, deployment, data_centres, domains, vms, count, endpoint_options):
        platform = self.start_program("bulrushhoist-standin", "platform")
        self.platform = platform.stdout.readline().split()[-1]
        endpoints = self.start_program(
            "bulrushhoist-standin", "endpoints", "--platform", self.platform,
            "--data-centres", data_centres, "--domains", str(domains), "--vms", str(vms),
            *endpoint_options,
        )
        self.control = endpoints.stdout.readline().split()[-1]
        names = data_centres.split(",")
        for index in range(count):
            self.start_daemon(index, names[index % len(names)])
        environment = dict(os.environ, BULRUSHHOIST_PLATFORM=self.platform)
        apply = [program("bulrushhoist"), "-q", "apply", deployment]
        subprocess.run(apply, check=True, env=environment)
        self.wait_until_ready()

    def start_daemon(self, index, data_centre):
        caller, peer, operator = (f"127.0.0.1:{free_port()}" for _ in range(3))
        path = os.path.join(self.directory.name, f"{index}.toml")
        with open(path, "w") as f:
            f.write(
                f'data-centre = "{data_centre}"\nplatform = "{self.platform}"\n'
                f'[listen]\ncaller = "{caller}"\npeer = "{peer}"\noperator = "{operator}"\n'
                '[security]\ninsecure = true\n[log]\nlevel = "error"\n'
            )
        process = self.start_program("bulrushhoistd", path)
        self.daemons.append(Daemon(process.pid, caller, operator))

    def wait_until_ready(self):
        deadline = time.time() + READY_TIMEOUT_S
        while not all(daemon.is_ready() for daemon in self.daemons):
            if time.time() > deadline:
                raise SystemExit(f"not every daemon was ready within {READY_TIMEOUT_S} s")
            time.sleep(0.5)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()
        self.directory.cleanup()
