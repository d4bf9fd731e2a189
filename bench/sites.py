"""Creates bundles and control streams of a given size for the benchmarks."""

import hashlib
import random

from clementinewood import record, signature, state
from clementinewood.identifiers import EntryId, Incarnation, ZoneId

CLUSTER_KEY = b"k" * 32
PRIVATE, PUBLIC = signature.generate_key()


def create_text(
    *, workers: int, pools: int, teams: int, version: int = 1, zones: int = 5
) -> str:
    lines = ["[bundle]", f"version = {version}", "site = bench", ""]
    for zone in range(zones):
        lines += [f"[zone z{zone}]", "state = in", f"region = r{zone % 2}", ""]
    for service in range(12):
        lines += [f"[service s{service}]", "slots = 8", "connections = 64"]
        lines += ["run_limit = 60s", ""]
    share = round(0.99 / teams, 6)
    done = 0
    for pool in range(pools):
        size = (workers * (pool + 1)) // pools - done
        done += size
        lines += [f"[pool p{pool:03}]", f"service = s{pool % 12}"]
        lines.append(
            f"workers = p{pool:03}-[001-{size:03}]" if size else "workers ="
        )
        lines.append(f"max_unavailable = {max(1, size // 10)}")
        lines += [f"max_unavailable_zone = {size // zones + 1}", ""]
        if size:
            lines += [f"[queue q{pool:03}]", f"pool = p{pool:03}"]
            lines += [f"teams = t{pool % teams:03}, t{(pool * 7) % teams:03}"]
            if lines[-1].count(f"t{pool % teams:03}") > 1:
                lines[-1] = f"teams = t{pool % teams:03}"
            lines += ["capacity = 1000", "run_limit = 30s", ""]
    # A bundle whose limit is below the team's share of the slots is rejected.
    # The margin of 16 is for `change_text`, which moves a limit by one.
    limit = max(workers * 8 // 10, int(1.2 * share * workers * 8) + 16)
    for team in range(teams):
        lines += [f"[team t{team:03}]", f"share = {share}", f"limit = {limit}"]
        for key in range(2):
            name = f"t{team:03}-k{key}"
            digest = hashlib.sha256(name.encode()).hexdigest()
            lines += ["", f"[key {name}]", f"team = t{team:03}"]
            lines += [f"customer = c{team % 6}", f"digest = sha256:{digest}"]
        lines.append("")
    lines += ["[maintenance]", "interval = 42d", "duration = 30m"]
    return "\n".join(lines) + "\n"


def change_text(text: str, version: int, rng: random.Random) -> str:
    """Returns the next version of a bundle, with one operator change."""
    blocks = text.split("\n\n")
    blocks[0] = f"[bundle]\nversion = {version}\nsite = bench"
    kind = rng.choice(["[team ", "[key ", "[queue ", "[zone "])
    places = [i for i, block in enumerate(blocks) if block.startswith(kind)]
    place = rng.choice(places)
    lines = blocks[place].split("\n")
    match kind:
        case "[team ":
            old = int(lines[2].split(" = ")[1])
            lines[2] = f"limit = {max(1, old + rng.choice((-1, 1)))}"
        case "[key ":
            if lines[-1].startswith("state"):
                lines.pop()
            else:
                lines.append("state = revoked")
        case "[queue ":
            lines[-2] = f"capacity = {rng.randrange(500, 1500)}"
        case _ if place != places[0]:
            lines[1] = rng.choice(["state = in", "state = out"])
    blocks[place] = "\n".join(lines)
    return "\n\n".join(blocks)


def sign(text: str) -> str:
    return signature.sign_bundle(
        text, "night", PRIVATE, signed=1.8e9, expires=1.9e9
    )


def name_entry(number: int) -> Incarnation:
    return Incarnation(f"entry-{number}/{number:012x}")


def create_joined(number: int) -> record.Joined:
    return record.Joined(
        name_entry(number),
        EntryId(f"entry-{number}"),
        f"10.0.0.{number}",
        9000,
        ZoneId(f"z{number % 5}"),
    )


class LogBuilder:
    """Encodes payloads as in the log and applies them to a control state."""

    def __init__(self, *, entries: int = 7) -> None:
        self.state = state.ControlState()
        self.log: list[bytes] = []
        for number in range(1, entries + 1):
            self.append(create_joined(number), author=number)

    def append(self, payload: record.Payload, *, author: int = 1) -> int:
        """Applies one payload and returns the size of its record in bytes."""
        entry = record.create_record(name_entry(author), payload)
        data = record.encode_record(entry, CLUSTER_KEY)
        offset = len(self.log)
        self.log.append(data)
        decoded = record.decode_record(data, CLUSTER_KEY).unwrap()
        outcome = self.state.apply(decoded, offset, 1.8e9 + offset)
        assert outcome is state.Outcome.APPLIED, outcome
        return len(data)

    def accept(self, text: str) -> int:
        """Applies a bundle and returns the size of its record in bytes."""
        return self.append(self.state.create_bundle_payload(sign(text)))
