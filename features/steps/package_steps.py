"""Steps that install the package and run it outside the checkout."""

import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time

import behave

from features import dev_process, runner

INSTALL_SECONDS = 240


def run_python(context, *arguments):
    environment = dict(os.environ, PYTHONPATH=str(context.installed))
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=context.elsewhere,
        env=environment,
        capture_output=True,
        text=True,
        timeout=INSTALL_SECONDS,
    )


@behave.given("the package is installed into an empty folder")
def install_package(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.installed = pathlib.Path(folder.name) / "installed"
    context.elsewhere = pathlib.Path(folder.name) / "elsewhere"
    context.elsewhere.mkdir()
    done = run_python(
        context,
        "-m",
        "pip",
        "install",
        "--quiet",
        "--disable-pip-version-check",
        "--no-deps",
        "--no-build-isolation",
        "--target",
        str(context.installed),
        str(runner.ROOT),
    )
    assert done.returncode == 0, done.stderr


@behave.when("its dev site runs for {seconds:d} seconds in another folder")
def run_dev(context, seconds):
    context.done = run_python(
        context,
        "-m",
        "clementinewood",
        "dev",
        "--base-port",
        str(dev_process.find_base_port()),
        "--seconds",
        str(seconds),
    )


@behave.then("it names its entries")
def check_entries(context):
    assert context.done.returncode == 0, context.done.stderr
    assert context.done.stdout.count("http://127.0.0.1") >= 4, (
        context.done.stdout
    )


@behave.when("the platform's entry is imported from there")
def import_entry(context):
    code = (
        "import platform, clementinewood_platform.main,"
        " clementinewood_platform.daemon as entry;"
        "print(platform.system(), entry.__file__)"
    )
    context.done = run_python(context, "-c", code)


@behave.then('the standard module "platform" is still the library\'s own')
def check_platform(context):
    assert context.done.returncode == 0, context.done.stderr
    system, path = context.done.stdout.split()
    assert system == "Linux", system
    assert str(context.installed) in path, path


@behave.given("the settings file of an entry is malformed")
def write_settings(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.settings = pathlib.Path(context.folder.name) / "settings.toml"
    context.settings.write_text("node = 7")


@behave.when("its process gets SIGHUP as soon as it does not end by it")
def signal_starting(context):
    child = subprocess.Popen(
        [sys.executable, "-m", "clementinewood_platform.main"],
        cwd=runner.ROOT,
        env=dict(os.environ, CLEMENTINEWOOD_CONFIG=str(context.settings)),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    context.first_line_came = False
    while not dev_process.survives(child.pid, signal.SIGHUP):
        assert child.poll() is None, "it never came to survive the signal"
        time.sleep(0.001)
    readable, _, _ = select.select([child.stdout], [], [], 0)
    context.first_line_came = bool(readable)
    child.send_signal(signal.SIGHUP)
    child.communicate()
    context.status = child.returncode


@behave.then("the signal came before its first line")
def check_early(context):
    assert not context.first_line_came


@behave.then("it exits with status {status:d}")
def check_exit(context, status):
    assert context.status == status, context.status
