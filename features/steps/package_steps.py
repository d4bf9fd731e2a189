"""Steps that install the package and run it outside the checkout."""

import os
import pathlib
import subprocess
import sys
import tempfile

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
        "import platform, clementinewood_platform.main as entry;"
        "print(platform.system(), entry.__file__)"
    )
    context.done = run_python(context, "-c", code)


@behave.then('the standard module "platform" is still the library\'s own')
def check_platform(context):
    assert context.done.returncode == 0, context.done.stderr
    system, path = context.done.stdout.split()
    assert system == "Linux", system
    assert str(context.installed) in path, path
