"""Steps for the freshness of the configuration."""

import behave

from clementinewood import freshness


@behave.given("the freshness of entry a among {names}")
def create_freshness(context, names):
    context.freshness = freshness.Freshness("a")
    context.freshness.set_members(names.split(", "))


@behave.when("a read the log to offset {offset:d} at time {now:g}")
def read_head(context, offset, now):
    context.freshness.on_offset(offset)
    context.freshness.on_head_read(now)


@behave.when("{peer} is gone at time {now:g}")
def lose_peer(context, peer, now):
    context.freshness.on_peer_absent(peer, now)


@behave.when('at time {now:g} the evidence is "{evidence}"')
def add_evidence(context, now, evidence):
    one = context.freshness
    for item in evidence.split(", "):
        match item.split():
            case [peer, "gone"]:
                one.on_peer_absent(peer, now)
            case [peer, "relay", head]:
                one.on_relay(0.5, now, head=int(head))
            case [peer, "down" | "up" as state, offset]:
                one.on_peer_status(peer, state == "up", int(offset), now)
            case ["fold", offset]:
                one.on_offset(int(offset))
            case ["known", offset]:
                one.on_known_offset(int(offset))
            case _:
                raise ValueError(item)


@behave.when('at time {now:g} the evidence is ""')
def add_nothing(context, now):
    pass


@behave.then('at time {now:g} the entry is {state} because "{reason}"')
def check_fresh(context, now, state, reason):
    explanation = context.freshness.explain(now)
    assert context.freshness.is_fresh(now) == (state == "fresh"), explanation
    assert explanation.startswith(state) and reason in explanation, explanation


@behave.then("a states at time {now:g} that it {can} reach the log")
def check_statement(context, now, can):
    assert context.freshness.report_reachability(now) == (can == "can")


@behave.then("a {may} append at time {now:g}")
def check_append(context, may, now):
    assert context.freshness.may_append(now) == (may == "may")
