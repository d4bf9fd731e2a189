"""Steps for settings."""

import behave

from clementinewood import settings

SECRET = "ab" * 32
PUBLIC = "A" * 43 + "="
TEXT = """\
[entry]
id = entry-1
zone = hobart
callers = 127.0.0.1:8001
peers = 127.0.0.1:9001
log = 127.0.0.1:7000
hosts = 127.0.0.1:7000
cluster_key = SECRET
[peers]
entry-1 = 127.0.0.1:9001
entry-2 = 127.0.0.1:9002
[operators]
night = KEY 1900000000
[edge]
body_bytes = 2000000
[logging]
level = info
"""


def parse(context):
    text = context.settings.replace("SECRET", SECRET).replace("KEY", PUBLIC)
    return settings.parse_settings(text, "entry.ini")


@behave.given("sound settings of entry-1")
def create(context):
    context.settings = TEXT


@behave.when('the settings line "{line}" becomes "{change}"')
def change(context, line, change):
    assert f"\n{line}\n" in "\n" + context.settings, line
    context.settings = context.settings.replace(f"{line}\n", f"{change}\n", 1)


@behave.when("these settings lines change")
def change_lines(context):
    for row in context.table:
        change(context, row["line"], row["change"])


@behave.then(
    "its settings name zone {zone}, entries {others} and operator {operator}"
)
def check_read(context, zone, others, operator):
    found = parse(context).unwrap()
    assert (found.entry, found.zone) == ("entry-1", zone)
    assert dict(found.others) == {others: ("127.0.0.1", 9002)}
    assert list(found.operators) == [operator]
    assert found.cluster_key == bytes.fromhex(SECRET)
    assert found.edge_limits.body_bytes == 2000000
    assert found.log_level is settings.LogLevel.INFO


@behave.then("settings printed for a log do not show the cluster key")
def check_printed(context):
    printed = repr(parse(context).unwrap())
    assert "cluster_key" not in printed, printed


@behave.then("the settings errors are")
def check_errors(context):
    found = [
        [str(f.line), f.section, f.option, f.value, f.suggestion]
        for f in parse(context).failure()
    ]
    assert found == [list(row.cells) for row in context.table], found
    assert all(f.allowed for f in parse(context).failure())


@behave.then('the settings are refused, saying "{detail}"')
def check_refused(context, detail):
    found = [item.render() for item in parse(context).failure()]
    assert any(detail in line for line in found), found


@behave.then('no settings error shows "{secret}"')
def check_secret(context, secret):
    found = [item.render() for item in parse(context).failure()]
    assert found and not any(secret in line for line in found), found
