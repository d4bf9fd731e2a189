"""`clementinewood demo`: runs the main scenario from start to end."""

import argparse
import re
from collections.abc import Callable
from typing import Any

from clementinewood import dev, event, httpclient

Headers = dict[str, str]
DEMO_SECONDS = 50.0


class Demo:
    """Sends requests to a site on loopback and checks each response.

    Args:
        site: The site.

    Attributes:
        failed: Number of failed checks.
    """

    def __init__(self, site: dev.DevSite) -> None:
        self.failed = 0
        self._site = site
        self._key = dev.find_secrets(site.text)[0]
        self._queue = "quotes"
        self._text = site.text
        self._clients = [
            httpclient.HttpClient(site.sockets, site.timers, item.callers)
            for item in site.settings
        ]
        self._stages: list[Callable[[], None]] = [
            self._roll_first,
            self._submit,
            self._submit_without_key,
            self._submit_unknown_queue,
            self._submit_keyed,
            self._repeat_keyed,
            self._take_zone_out,
            self._submit_zone_out,
            self._revoke_key,
            self._submit_revoked,
        ]

    def run(self) -> int:
        """Runs every stage.

        Returns:
            The process exit status.
        """
        timers = self._site.timers
        self._site.start()
        timers.subscribe_once(1.0, self._next)
        timers.subscribe_once(DEMO_SECONDS, self._time_out)
        timers.run()
        print("demo failed" if self.failed else "demo passed")
        return 1 if self.failed else 0

    def _time_out(self) -> None:
        self.failed += 1
        print(f"the demo did not end within {DEMO_SECONDS} s")
        self._site.timers.stop()

    def _next(self) -> None:
        if not self._stages:
            self._site.timers.stop()
            return
        self._stages.pop(0)()

    def _report(self, title: str, detail: str, passed: bool) -> None:
        mark = "ok  " if passed else "FAIL"
        self.failed += not passed
        print(f"{mark} {title}: {detail}", flush=True)
        self._next()

    def _send(
        self,
        title: str,
        expected: str,
        *,
        entry: int = 0,
        queue: str = "quotes",
        headers: Headers | None = None,
        key: bool = True,
    ) -> None:
        """Sends one POST and checks the status and verdict of the response."""
        fields = [
            (name.encode(), value.encode())
            for name, value in (headers or {}).items()
        ]
        if key:
            fields.append((b"authorization", f"Bearer {self._key}".encode()))

        def receive(outcome: httpclient.Result) -> None:
            shown = str(outcome)
            if isinstance(outcome, httpclient.Response):
                execution = outcome.find_header(b"x-execution") or b""
                minion = outcome.find_header(b"minion") or b"no minion"
                shown = (
                    f"{outcome.status} {execution.decode()}, {minion.decode()}"
                )
                if outcome.find_header(b"x-replayed"):
                    shown += ", replayed"
            self._report(title, shown, shown.startswith(expected))

        self._clients[entry].send(
            "POST",
            f"/q/{queue}/",
            fields,
            b"two sails",
            timeout=10.0,
            on_result=receive,
        )

    def _roll(self, title: str, text: str) -> None:
        """Posts a bundle and waits until it is in force at every entry."""
        self._text = text
        found = re.search(r"^version = (\d+)$", text, re.M)
        assert found is not None
        version = int(found.group(1))
        self._site.post_bundle(text)
        timers = self._site.timers
        started = timers.clock()

        def check_versions() -> None:
            versions = [item.state.version for item in self._site.entries]
            seconds = timers.clock() - started
            if versions == [version] * len(versions):
                detail = f"version {version} at all entries in {seconds:.2f} s"
                self._report(title, detail, True)
            elif seconds > 5:
                self._report(title, f"versions {versions}", False)
            else:
                timers.subscribe_once(0.01, check_versions)

        check_versions()

    def _change(self, pattern: str, replacement: str) -> str:
        """Returns the next version of the bundle with one change."""
        text, changes = re.subn(
            pattern, replacement, self._text, count=1, flags=re.M
        )
        assert changes == 1, pattern
        return re.sub(
            r"^version = (\d+)$",
            lambda found: f"version = {int(found.group(1)) + 1}",
            text,
            count=1,
            flags=re.M,
        )

    def _roll_first(self) -> None:
        self._roll("first bundle rolled", self._text)

    def _submit(self) -> None:
        self._send("request with a key", "200 ran")

    def _submit_without_key(self) -> None:
        self._send("request without a key", "401 not-run", key=False)

    def _submit_unknown_queue(self) -> None:
        self._send("unknown queue", "404 not-run", queue="nowhere")

    def _submit_keyed(self) -> None:
        self._send(
            "order with an idempotency key",
            "200 ran",
            headers={"idempotency-key": "order-7"},
        )

    def _repeat_keyed(self) -> None:
        self._send(
            "the same order again",
            "200 ran",
            headers={"idempotency-key": "order-7"},
        )

    def _take_zone_out(self) -> None:
        zone = next(iter(self._site.declared.zones))
        text = self._change(rf"(\[zone {zone}\]\nstate = )in", r"\g<1>out")
        self._roll(f"zone {zone} taken out", text)

    def _submit_zone_out(self) -> None:
        self._send("request while a zone is out", "200 ran", entry=1)

    def _revoke_key(self) -> None:
        key_id = self._key.partition(".")[0]
        text = self._change(
            rf"(\[key {key_id}\]\n(?:[^\[]*\n)?state = )granted",
            r"\g<1>revoked",
        )
        self._roll(f"key {key_id} revoked", text)

    def _submit_revoked(self) -> None:
        self._send("request with the revoked key", "401 not-run", entry=2)


def add_commands(subparsers: Any) -> None:
    """Adds the command to the command line."""
    parser = subparsers.add_parser(
        "demo",
        help="run the main job through all stages on loopback",
        description="Starts a site on loopback, rolls bundles, sends requests"
        " and checks the answers. Ends by itself; exit code 0 if all went as"
        " expected.",
    )
    parser.set_defaults(run=run_demo)


def run_demo(options: argparse.Namespace) -> int:
    """Runs the demo.

    Returns:
        The process exit status.
    """
    event.configure_log(level="ERROR")
    return Demo(dev.DevSite(dev.read_example("guild"))).run()
