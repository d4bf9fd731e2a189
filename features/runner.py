"""Runs every behave feature and prints the counts on the last line.

Scenarios listed in KNOWN-RED.txt may fail; every other failure, and a listed
scenario that passes again, makes the run fail.
"""

import pathlib
import sys

from behave import configuration, model, runner

ROOT = pathlib.Path(__file__).resolve().parent.parent
ERROR_CHARACTERS = 2000
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Returns the names of scenarios whose failure is on record."""
    if not KNOWN_RED.exists():
        return set()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(prefix)
    }


def collect_scenarios(features: list[model.Feature]) -> list[model.Scenario]:
    """Returns every scenario, with outlines expanded into their rows."""
    return [
        scenario
        for feature in features
        for scenario in feature.walk_scenarios()
    ]


def print_errors(scenario: model.Scenario) -> None:
    """Prints the steps of a failed scenario that did not pass."""
    for step in scenario.all_steps:
        if step.error_message:
            print(f"  {step.name}: {step.error_message[:ERROR_CHARACTERS]}")


def main(arguments: list[str]) -> int:
    """Runs the features named in `arguments`, or all of them.

    Returns:
        The process exit status: 0 when every scenario has its expected result.
    """
    config = configuration.Configuration(
        [
            "--no-capture",
            "--format=progress",
            "--tags=not @slow",
            *(arguments or [str(ROOT / "features")]),
        ],
        load_config=False,
    )
    suite = runner.Runner(config)
    suite.run()
    known = read_known_red()
    passed = failed = 0
    broken = suite.aborted or bool(suite.undefined_steps)
    for scenario in collect_scenarios(suite.features):
        # The name of a row ends with a space where its table has no name.
        name = f"{scenario.filename}: {scenario.name.strip()}"
        match scenario.status:
            case model.Status.passed:
                passed += 1
                if name in known:
                    print(f"listed in KNOWN-RED.txt but passes: {name}")
                    broken = True
            case model.Status.skipped:
                continue
            case _ if name in known:
                print(f"known red: {name}")
            case _:
                print(f"failed: {name} ({scenario.status.name})")
                print_errors(scenario)
                failed += 1
    if passed == 0:
        print("no scenario passed")
        broken = True
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
