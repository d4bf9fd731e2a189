"""A `dev` site in a process of its own, and commands run against it."""

import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from features import runner

LAST_PORT_OFFSET = 140
LIFETIME_SECONDS = 240
"""Ends the site by itself when a test run is killed."""

COMMAND_SECONDS = 60
READY_TRIES = 600


def find_base_port():
    """Returns a port after which all ports of a dev site are free."""
    draws = random.Random(os.getpid())
    while True:
        base = draws.randrange(20000, 30000)
        taken = []
        try:
            for port in range(base, base + LAST_PORT_OFFSET):
                item = socket.socket()
                taken.append(item)
                item.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for item in taken:
                item.close()


def create_environment():
    environment = dict(os.environ)
    environment["PYTHONPATH"] = str(runner.ROOT)
    # bash reads it in place of the installed console script, which may
    # belong to another checkout.
    environment["PYTHON"] = sys.executable
    environment["PATH"] = os.pathsep.join(
        [os.path.dirname(sys.executable), os.environ["PATH"]]
    )
    return environment


class DevProcess:
    """A running site.

    Args:
        folder: Where it runs and writes its files.
        arguments: More arguments of `clementinewood dev`.
    """

    def __init__(self, folder, *arguments):
        self.base = find_base_port()
        self.entries = [f"127.0.0.1:{self.base + n}" for n in (1, 2, 3)]
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clementinewood",
                "dev",
                f"--base-port={self.base}",
                f"--seconds={LIFETIME_SECONDS}",
                *arguments,
            ],
            cwd=folder,
            env=create_environment(),
            stdout=subprocess.PIPE,
            text=True,
        )
        self.lines = []
        for line in self._process.stdout:
            self.lines.append(line.rstrip())
            if line.startswith("try:"):
                break
        for entry in self.entries:
            self._wait_ready(entry)

    def _wait_ready(self, entry):
        for _ in range(READY_TRIES):
            try:
                urllib.request.urlopen(f"http://{entry}/ready").close()
                return
            except urllib.error.URLError:
                time.sleep(0.05)
        raise AssertionError(f"{entry} never became ready")

    def stop(self):
        self._process.send_signal(signal.SIGTERM)
        self._process.communicate()


def run_shell(script, folder):
    """Runs a script in bash and returns its exit code and output."""
    lines = [
        'clementinewood() { "$PYTHON" -m clementinewood "$@"; }',
        script,
    ]
    found = subprocess.run(
        ["bash", "-euo", "pipefail", "-c", "\n".join(lines)],
        cwd=folder,
        env=create_environment(),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=COMMAND_SECONDS,
    )
    return found.returncode, found.stdout


def find_request_id(text):
    return re.search(r"(?im)^x-request-id: (\w+)", text).group(1)


def survives(pid, number):
    """Whether a process ignores or handles a signal."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)
