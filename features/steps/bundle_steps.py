"""Steps for bundles and their deltas."""

import hashlib
import pathlib
import random
import re

import behave
import hypothesis
from hypothesis import strategies

from clementinewood import bundle, delta
from features import runner

LIGHT = {
    "derandomize": True,
    "deadline": None,
    "database": None,
    "suppress_health_check": list(hypothesis.HealthCheck),
}


def parse(text):
    return bundle.parse_bundle(text, "test.ini")


def change_line(text, line, change):
    """Replaces the first line that reads `line`; fails without one."""
    lines = text.split("\n")
    lines[lines.index(line)] = change
    return "\n".join(lines)


@behave.given("the bundle file {path}")
def read_file(context, path):
    context.ini = (pathlib.Path(runner.ROOT) / path).read_text()


@behave.then(
    "it declares site {site} with {zones:d} zones, {pools:d} pools of"
    " {workers:d} workers and {slots:d} slots"
)
def check_size(context, site, zones, pools, workers, slots):
    found = parse(context.ini).unwrap()
    assert (found.site, len(found.zones)) == (site, zones)
    assert [len(p.workers) for p in found.pools.values()] == [workers] * pools
    assert sum(p.spare for p in found.pools.values()) == 1
    assert found.total_slots == slots


@behave.then(
    "{n:d} minion slots of {slots:d} and {connections:d} connections, and"
    " {customers:d} customers or more"
)
def check_services(context, n, slots, connections, customers):
    found = parse(context.ini).unwrap()
    services = [(s.slots, s.connections) for s in found.services.values()]
    assert services == [(slots, connections)] * n, services
    assert len({key.customer for key in found.keys.values()}) >= customers


@behave.then("each secret in its comments matches the digest of its key")
def check_secrets(context):
    found = parse(context.ini).unwrap()
    secrets = re.findall(r"^#   (\S+)\.(\w+)$", context.ini, re.MULTILINE)
    assert {name for name, _ in secrets} == found.keys.keys()
    for name, secret in secrets:
        digest = hashlib.sha256(secret.encode()).digest()
        assert found.keys[name].digest == digest, name


@behave.when('line "{line}" of it becomes "{change}"')
def edit_line(context, line, change):
    context.ini = change_line(context.ini, line, change)


@behave.then("the bundle errors are")
def check_errors(context):
    found = [
        [f.section, f.option, f.value, f.allowed, f.suggestion]
        for f in parse(context.ini).failure()
    ]
    wanted = [list(row.cells) for row in context.table]
    assert sorted(found) == sorted(wanted), found


@behave.then("each bundle error names the line it is on")
def check_lines(context):
    lines = context.ini.split("\n")
    for item in parse(context.ini).failure():
        line = lines[item.line - 1]
        if item.value:
            assert line == f"{item.option} = {item.value}", (item, line)
        else:
            assert line == f"[{item.section}]", (item, line)


@behave.then(
    "the only bundle error is in section {section}, option {option}, and says"
    ' "{detail}"'
)
def check_error(context, section, option, detail):
    faults = parse(context.ini).failure()
    found = [(f.section, f.option) for f in faults if detail in f.detail]
    rendered = [f.render() for f in faults]
    assert found[:1] == [(section, option)], rendered
    # One mistake may cause several errors, all with the same text.
    assert all(detail in f.detail for f in faults), rendered


@behave.then(
    "the only bundle error is in section {section}, option , and says"
    ' "{detail}"'
)
def check_section_error(context, section, detail):
    assert any(
        f.section == section and detail in f.detail
        for f in parse(context.ini).failure()
    ), parse(context.ini)


@behave.then(
    'the only bundle error is in section , option , and says "{detail}"'
)
def check_plain_error(context, detail):
    faults = parse(context.ini).failure()
    assert any(detail in f.detail for f in faults), faults


def edit(text, source):
    """Makes a few random edits, many of which break the text."""
    lines = text.split("\n")
    for _ in range(source.randrange(1, 4)):
        place = source.randrange(len(lines))
        match source.randrange(5):
            case 0:
                lines[place] = source.choice(lines)
            case 1:
                del lines[place]
            case 2:
                lines.insert(place, source.choice(lines))
            case 3:
                numbers = re.sub(
                    r"\d+", lambda m: str(int(m[0]) + 1), lines[place]
                )
                lines[place] = numbers
            case _:
                lines.insert(place, source.choice(["# note", "", " x", "["]))
    return "\n".join(lines)


def compare_parsers(parser, n):
    text = (
        runner.ROOT / "clementinewood" / "examples" / "guild.ini"
    ).read_text()
    source = random.Random(5)
    sound = 0
    parser.parse(text, "test.ini").unwrap()
    for _ in range(n):
        edited = edit(text, source)
        found = parser.parse(edited, "test.ini")
        assert found == parse(edited), edited
        if type(found).__name__ == "Success":
            text = edited
            sound += 1
    assert sound > n // 10, sound


@behave.then(
    "{n:d} random edits read the same through a used and a new bundle parser"
)
def check_reuse(context, n):
    context.n = n
    compare_parsers(bundle.BundleParser(), n)


class NameParser(bundle.BundleParser):
    """Takes sections with the same header for the same."""

    def _resume(self, blocks, source):
        heads = {
            block.split("\n")[0]: part for block, part in self._parts.items()
        }
        for block in blocks:
            part = heads.get(block.split("\n")[0])
            if part is not None:
                self._parts[block] = part
        return super()._resume(blocks, source)


@behave.then("that comparison fails for a parser that reuses sections by name")
def check_reuse_broken(context):
    try:
        compare_parsers(NameParser(), context.n)
    except AssertionError:
        return
    raise AssertionError("the comparison passed")


# Fixed, so that rewording the test does not change its examples.
ANY_TEXT_SEED = int(
    "105aeabaa6a4a2953f46ac8b418a8f80ea7dff52577480f1"
    "01127ade39cc862b6238bc2be333e44055d0e3d161442995",
    16,
)


@behave.then("{n:d} random and mutated bundle texts are read or refused")
def check_any_text(context, n):
    whole = (
        runner.ROOT / "clementinewood" / "examples" / "sanctum.ini"
    ).read_text()[600:1600]
    parts = strategies.sampled_from(
        ["[", "]", "=", "\n", " ", "#", "[zone a]\n", "[bundle]\n", "\t", "\r"]
        + ["version = 1", "\x85", "\u2028", "workers = w[1-99999999]", "\x00"]
    )

    @hypothesis.seed(ANY_TEXT_SEED)
    @hypothesis.settings(max_examples=n, **LIGHT)
    @hypothesis.given(
        strategies.integers(0, len(whole)),
        strategies.lists(parts | strategies.text(max_size=4)),
    )
    def run(place, patch):
        for text in ("".join(patch), whole[:place] + "".join(patch)):
            found = parse(text)
            if type(found).__name__ == "Failure":
                assert all(item.render() for item in found.failure())

    run()


@behave.when("it is compared with one where these lines change")
def compare(context):
    changed = context.ini
    for row in context.table:
        changed = change_line(changed, row["line"], row["change"])
    context.changes = bundle.diff_bundles(
        parse(context.ini).unwrap(), parse(changed).unwrap()
    )


@behave.then("the bundle differences read")
def check_differences(context):
    found = [change.describe() for change in context.changes]
    assert found == [row["text"] for row in context.table], found


@behave.then(
    "the typed bundle change of team {team} is limit from {old:d} to {new:d}"
)
def check_typed(context, team, old, new):
    wanted = bundle.Change(
        bundle.ChangeKind.CHANGED, "team", team, "limit", old, new
    )
    assert wanted in context.changes, context.changes


def remove_claims(text):
    start = text.index("[queue claims]")
    return text[:start] + text[text.index("[queue noticeboard]") :]


@behave.then("removing queue claims at once is refused as stranding requests")
def check_removal(context):
    old = parse(context.ini).unwrap()
    new = parse(
        remove_claims(context.ini).replace("version = 1", "version = 2")
    ).unwrap()
    (found,) = bundle.check_change(old, new)
    assert "strand" in found.detail and found.section == "queue claims"


@behave.then("removing queue claims after closing = yes is allowed")
def check_closing(context):
    closing = context.ini.replace(
        "[queue claims]", "[queue claims]\nclosing = yes"
    )
    old = parse(closing).unwrap()
    new = parse(
        remove_claims(context.ini).replace("version = 1", "version = 2")
    ).unwrap()
    assert bundle.check_change(old, new) == ()


# Fixed, so that rewording the test does not change its examples.
DELTAS_SEED = int(
    "cb15ae0f7d60404e91db2064bc433c7638f0da0315359750"
    "d262bf7c5f23e3bffad777eed9d6685db2bc22647c02a2e6",
    16,
)


@behave.then("{n:d} random pairs of texts are restored from their deltas")
def check_deltas(context, n):
    block = strategies.sampled_from(
        ["[a]\nx = 1\n", "[b]\ny = 2\n", "[c]\n", "# clementinewood-x\n", "\n"]
    )
    text = strategies.lists(block | strategies.text(max_size=5)).map("".join)

    @hypothesis.seed(DELTAS_SEED)
    @hypothesis.settings(max_examples=n, **LIGHT)
    @hypothesis.given(text, text)
    def run(base, new):
        assert delta.apply_delta(base, delta.encode_delta(base, new)) == new

    run()


# Fixed, so that rewording the test does not change its examples.
DELTA_BYTES_SEED = int(
    "78e7c2f81d1f35779a008c8bc6818cd4b152308ed0ae8400"
    "c66d41216e4d3699896bc7d10675b003c9c50d30c2affe31",
    16,
)


@behave.then("random bytes as a delta raise nothing but ValueError")
def check_delta_bytes(context):
    texts = strategies.sampled_from(
        ["[[0,1,2]]", "[[-1,0,'']]", '[[5,9,"x"]]', "{}", "[" * 5000, "1"]
    )
    data = strategies.binary() | texts.map(delta.compress)

    @hypothesis.seed(DELTA_BYTES_SEED)
    @hypothesis.settings(max_examples=100, **LIGHT)
    @hypothesis.given(data)
    def run(raw):
        try:
            delta.apply_delta("[a]\n", raw)
        except ValueError:
            return
        raise AssertionError(f"{raw!r} was taken for a delta")

    run()
