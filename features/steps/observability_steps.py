"""Steps for events, metrics and log contents."""

import base64
import io
import re

import behave

from clementinewood import dev, event, httpclient, metric
from features import runner

PACKAGES = (runner.ROOT / "clementinewood", runner.ROOT / "platform")
NOT_EMITTED = "not emitted by this version"
TOKEN = "moth-light-91"
SECONDS = 20.0


def read_rows(name):
    """Returns the cells of the first table of a page."""
    rows = []
    for line in (runner.ROOT / "docs" / name).read_text().splitlines():
        if line.startswith("|"):
            rows.append([cell.strip() for cell in line.strip("|").split("|")])
        elif rows:
            break
    return rows[2:]


@behave.then("docs/events.md lists exactly the events of the code")
def check_events(context):
    listed = [tuple(row[:3]) for row in read_rows("events.md")]
    known = [
        (f"CW{item.number}", item.level, item.text) for item in event.Event
    ]
    assert listed == known, set(listed) ^ set(known)
    assert all(all(row[3:]) for row in read_rows("events.md"))


def find_sources(names, prefix, own):
    texts = [
        path.read_text()
        for package in PACKAGES
        for path in package.glob("*.py")
        if path.name != f"{own}.py"
    ]
    return {
        name
        for name in names
        if any(re.search(rf"\b{prefix}\.{name}\b", text) for text in texts)
    }


@behave.then("exactly the events marked as not emitted are emitted nowhere")
def check_emitted(context):
    marked = {row[0] for row in read_rows("events.md") if NOT_EMITTED in row[4]}
    names = {item.name for item in event.Event}
    emitted = find_sources(names, "Event", "event")
    silent = {f"CW{event.Event[name].number}" for name in names - emitted}
    assert silent == marked, silent ^ marked


@behave.then("docs/metrics.md lists exactly the instruments of the code")
def check_metrics(context):
    listed = [tuple(row) for row in read_rows("metrics.md")]
    known = [
        (
            item.name,
            item.kind.value,
            item.unit,
            ", ".join(item.attributes) or "-",
            item.description,
        )
        for item in metric.CATALOGUE
    ]
    assert listed == known, set(listed) ^ set(known)


@behave.then("every instrument has a source")
def check_sources(context):
    names = {
        name
        for name, value in vars(metric).items()
        if isinstance(value, metric.Instrument)
    }
    assert find_sources(names, "metric", "metric") == names


@behave.then("no module but event uses the logger")
def check_loggers(context):
    users = {
        path.name
        for package in PACKAGES
        for path in package.glob("*.py")
        if "loguru" in path.read_text()
    }
    assert users == {"event.py"}, users


def keep_log(context, level):
    context.output = io.StringIO()
    event.configure_log(level=level, stream=context.output)
    context.add_cleanup(event.configure_log)


@behave.when("an event with a value of two lines is logged")
def log_lines(context):
    keep_log(context, "DEBUG")
    event.emit(event.Event.BUNDLE_REFUSED, detail="a\nINFO CW1002 forged")


@behave.then("the log shows one line")
def check_line(context):
    assert context.output.getvalue().count("\n") == 1


@behave.given("a site whose log is kept at the lowest level")
def start_site(context):
    keep_log(context, "TRACE")
    text = dev.read_example("guild")
    context.site = dev.DevSite(text, operator_token=TOKEN)
    context.secrets = dev.find_secrets(text)
    context.site.start()


def list_requests(secrets):
    good, other = secrets[0], secrets[1]
    key_id, _, secret = good.partition(".")
    bearer = "Bearer "
    return [
        ("POST", "/q/quotes/", {"authorization": bearer + good}),
        ("POST", f"/q/quotes/{other}", {"authorization": bearer + good}),
        ("POST", f"/q/{other}/", {"authorization": bearer + other}),
        ("POST", "/q/quotes/", {"authorization": f"Basic {other}"}),
        ("POST", "/q/quotes/", {"authorization": bearer + key_id + ".00"}),
        ("POST", "/q/quotes/", {"authorization": bearer + "no." + secret}),
        ("POST", "/q/quotes/", {"x-priority": good}),
        ("POST", "/q/claims/", {"idempotency-key": good}),
        ("GET", "/v1/status", {"authorization": bearer + TOKEN}),
        ("GET", f"/v1/explain/{TOKEN}", {"authorization": bearer + TOKEN}),
        ("GET", f"/v1/nothing/{TOKEN}?token={TOKEN}", {}),
        ("POST", "/v1/bundles", {"authorization": bearer + TOKEN}),
        ("GET", "/v1/status", {"authorization": bearer + "wrong" + TOKEN}),
    ]


@behave.when(
    "requests with good, revoked, unknown and misplaced secrets are sent"
)
def send_requests(context):
    site = context.site
    timers = site.timers
    client = httpclient.HttpClient(
        site.sockets, timers, site.settings[0].callers
    )
    waiting = list_requests(context.secrets)
    revoked = re.sub(
        r"(\[key canvas-salamanca\]\n[^\[]*?state = )granted",
        r"\1revoked",
        site.text.replace("version = 1", "version = 2"),
    )
    assert revoked.count("revoked") > site.text.count("revoked")
    waiting.append(("ROLL", revoked, {}))
    waiting += list_requests(context.secrets)
    context.answers = []

    def step(outcome=None):
        if outcome is not None:
            context.answers.append(outcome)
        if not waiting:
            timers.stop()
            return
        method, target, headers = waiting.pop(0)
        if method == "ROLL":
            site.post_bundle(target)
            timers.subscribe_once(1.0, step)
            return
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        client.send(method, target, fields, b"x", timeout=10.0, on_result=step)

    def begin():
        site.post_bundle(site.text)
        timers.subscribe_once(1.0, step)

    timers.subscribe_once(1.0, begin)
    timers.subscribe_once(SECONDS, timers.stop)
    timers.run()
    assert not waiting, waiting


@behave.then("the log shows answered and refused requests")
def check_log(context):
    text = context.output.getvalue()
    for number in (1101, 1401, 1402, 1102):
        assert f"CW{number}" in text, (number, text[-2000:])
    for reason in ("key-revoked", "key-unknown", "key-missing"):
        assert f"reason={reason}" in text, reason


@behave.then("the log shows no secret")
def check_secrets(context):
    text = context.output.getvalue()
    key = context.site.cluster_key
    hidden = [TOKEN, key.hex(), base64.b64encode(key).decode(), repr(key)]
    hidden += [item.partition(".")[2] for item in context.secrets]
    hidden.append(context.site.private_key.splitlines()[1])
    for secret in hidden:
        assert secret not in text, secret
