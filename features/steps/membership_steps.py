"""Steps for members, suspicion and removal."""

import behave

from clementinewood import ledger, membership


@behave.given("the membership view of entry a with peers {names}")
def create_membership(context, names):
    context.roster = membership.Roster()
    context.view = membership.Membership("a", context.roster)
    context.offset = 0
    context.log = []
    context.refutes = set()
    for name in ("a", *names.split(", ")):
        record(context, context.view, name, membership.Joined(), 0.0)


def record(context, view, author, payload, now):
    context.offset += 1
    context.log.append((now, author, payload))
    return view.on_record(author, payload, context.offset, now)


@behave.given("{name:w} refutes every suspicion")
def refute(context, name):
    context.refutes.add(name)


@behave.when("a hears {names} from time {start:g} to {end:g}")
def hear(context, names, start, end):
    for step in range(int(start * 4), int(end * 4)):
        now = step / 4
        for name in names.split(", "):
            context.view.record_message(name, now)
        for action in context.view.decide(now, may_append=True):
            if isinstance(action, membership.Action):
                assert action.kind is membership.ActionKind.CLOSE
                action = ledger.FencingRecord(action.member, "a")
            record(context, context.view, "a", action, now)
            suspected = isinstance(action, membership.Suspected)
            if suspected and action.member in context.refutes:
                refuted = membership.Refuted(context.offset, True, True)
                record(context, context.view, action.member, refuted, now)


@behave.when("a is paused until time {now:g}")
def pause(context, now):
    pass


@behave.when("the host of {name:w} refuses connections at time {now:g}")
def lose(context, name, now):
    context.view.on_absent(name, now)


def find(context, kind):
    return [
        time for time, _, payload in context.log if isinstance(payload, kind)
    ]


@behave.then(
    "a suspected {name:w} before time {suspected:g} and removed it before time"
    " {removed:g}"
)
def check_removed(context, name, suspected, removed):
    assert find(context, membership.Suspected)[0] < suspected
    assert find(context, membership.Removed)[0] < removed


@behave.then(
    "a closed {name:w} no earlier than {wait:g} seconds after its removal"
)
def check_closed(context, name, wait):
    (removed,) = find(context, membership.Removed)
    (closed,) = find(context, ledger.FencingRecord)
    assert closed - removed >= wait, closed - removed


@behave.then("{name:w} is still a member")
def check_member(context, name):
    assert name in context.roster.members


@behave.then("a suspected {name:w} {count:d} times")
def check_suspected(context, name, count):
    assert len(find(context, membership.Suspected)) == count, context.log


@behave.when("the log says that {author:w} removed {name:w}")
def remove(context, author, name):
    record(context, context.view, author, membership.Suspected(name), 1.0)
    removed = membership.Removed(name, context.offset)
    record(context, context.view, author, removed, 1.0)


@behave.then("a is told to join again")
def check_rejoin(context):
    (action,) = context.view.decide(1.0, may_append=True)
    assert action.kind is membership.ActionKind.REJOIN


@behave.given("a joiner {name:w}")
def join(context, name):
    context.joiner = membership.Membership(name, context.roster)
    record(context, context.joiner, name, membership.Joined(), 1.0)
    context.joined = context.offset


@behave.then("{name:w} is not confirmed")
def check_unconfirmed(context, name):
    assert not context.joiner.is_confirmed


@behave.when("{names} confirm {name:w}")
def confirm(context, names, name):
    for peer in names.split(", "):
        context.joiner.on_confirmed(peer, context.joined - 1, True, 1.0)
        assert not context.joiner.is_confirmed
    for peer in names.split(", "):
        context.joiner.on_confirmed(peer, context.joined, True, 1.0)


@behave.then("{name:w} is confirmed and complete")
def check_complete(context, name):
    assert context.joiner.is_confirmed
    assert context.joiner.is_complete(2.0)


@behave.when("{names} are removed and closed")
def remove_all(context, names):
    view = context.joiner
    for name in names.split(", "):
        record(context, view, "d", membership.Suspected(name), 1.0)
        removed = membership.Removed(name, context.offset)
        record(context, view, "d", removed, 1.0)
    for name in names.split(", "):
        record(context, view, "d", ledger.FencingRecord(name, "d"), 40.0)


@behave.then(
    "{name:w} is confirmed but complete only {wait:d} seconds after the last"
    " closing"
)
def check_incomplete(context, name, wait):
    assert context.joiner.is_confirmed
    assert not context.joiner.is_complete(40.0 + wait)
    assert context.joiner.is_complete(50.0 + wait)


@behave.then("the fold of the roster snapshot equals the roster")
def check_roster_snapshot(context):
    dump = context.roster.dump()
    assert membership.Roster.load(dump).dump() == dump


@behave.when("claims expire unread by d at time {now:g}")
def miss_claims(context, now):
    context.joiner.on_claims_missed(now)


@behave.then("d is not complete at time {now:g}")
def check_not_complete(context, now):
    assert not context.joiner.is_complete(now)


@behave.then("d is complete at time {now:g}")
def check_complete_at(context, now):
    assert context.joiner.is_complete(now)
