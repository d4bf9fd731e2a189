"""Steps for the ledger and the balancer."""

import behave

from clementinewood import ledger

TEAM = ledger.ResourceId("team:quotes")


@behave.given("a ledger of entries {names} with {limit:d} rights")
def create_ledgers(context, names, limit):
    context.escrow = ledger.EscrowAccounts()
    context.ledgers = {}
    for offset, name in enumerate(names.split(", ")):
        context.escrow.join(name, offset)
        context.ledgers[name] = ledger.Ledger(name, context.escrow)
    context.escrow.set_limit(TEAM, limit, 10)
    context.offset = 10
    context.balancers = {
        name: ledger.TokenBalancer(one) for name, one in context.ledgers.items()
    }
    context.waiting = dict.fromkeys(context.ledgers, 0)
    context.runs = dict.fromkeys(context.ledgers, 0)
    context.now = 0.0
    context.ends = []


def deliver(context, transfer):
    receiver = context.ledgers[transfer.receiver]
    acknowledged = receiver.receive(transfer)
    if acknowledged is not None:
        context.ledgers[transfer.giver].acknowledge(acknowledged)


@behave.then("the entries hold {amounts} rights")
def check_held(context, amounts):
    held = [str(one.held(TEAM)) for one in context.ledgers.values()]
    assert ", ".join(held) == amounts, held


@behave.when("{a} gives {n:d} rights to {b} and the transfer is lost")
def give_lost(context, a, n, b):
    assert context.ledgers[a].give(TEAM, b, n) is not None


@behave.when("{a} sends its pending transfers to {b} {count:d} times")
def send_pending(context, a, b, count):
    transfers = context.ledgers[a].pending(b) * count
    assert transfers
    for transfer in transfers:
        deliver(context, transfer)


@behave.when(
    "{a} gives 1 rights to {b} twice and the transfers arrive in reverse"
)
def give_reversed(context, a, b):
    one, two = (context.ledgers[a].give(TEAM, b, 1) for _ in range(2))
    for transfer in (two, one):
        deliver(context, transfer)


@behave.then("{a} has {count:d} pending transfers to {b}")
def check_pending(context, a, count, b):
    assert len(context.ledgers[a].pending(b)) == count


@behave.when("{a} acquires {count:d} rights")
def acquire(context, a, count):
    assert all(context.ledgers[a].acquire(TEAM) for _ in range(count))


@behave.then("{a} cannot give {n:d} rights to {b}")
def check_no_gift(context, a, n, b):
    assert context.ledgers[a].give(TEAM, b, n) is None


@behave.then("{a} cannot acquire {count:d} more rights")
def check_no_right(context, a, count):
    assert not all(context.ledgers[a].acquire(TEAM) for _ in range(count))


@behave.when("the limit changes to {limit:d}")
def change_limit(context, limit):
    context.offset += 1
    context.escrow.set_limit(TEAM, limit, context.offset)


@behave.then("{a} may not use the rights it has taken")
def check_not_kept(context, a):
    assert not context.ledgers[a].may_use_acquired(TEAM)


@behave.when("{a} is removed")
def remove(context, a):
    context.offset += 1
    context.escrow.remove(a, context.offset)


@behave.then("{a} drops a transfer from {b}")
def check_dropped(context, a, b):
    transfer = ledger.Transfer(TEAM, b, a, 5)
    assert context.ledgers[a].receive(transfer) is None


@behave.when("{a:w} appends its closing of {b:w}")
def close(context, a, b):
    context.offset += 1
    fencing_record = context.ledgers[a].create_fencing_record(b)
    assert context.escrow.apply_fencing_record(fencing_record, context.offset)


@behave.then("the fold of the snapshot equals the fold")
def check_snapshot(context):
    dump = context.escrow.dump()
    assert ledger.EscrowAccounts.load(dump).dump() == dump
    assert dump["removals"] and dump["lowered"]


@behave.when(
    "{a} waits for {count:d} rights and the entries exchange reports and"
    " requests"
)
def exchange(context, a, count):
    """Runs ten seconds; work takes one second."""
    context.waiting[a] = count
    ends = context.ends
    for _ in range(40):
        context.now += 0.25
        for name in [n for due, n in ends if due <= context.now]:
            context.ledgers[name].release(TEAM)
        ends[:] = [end for end in ends if end[0] > context.now]
        for name, balancer in context.balancers.items():
            balancer.set_waiting(TEAM, context.waiting[name])
            report = balancer.report(context.offset, context.now)
            for peer in context.balancers:
                if peer != name:
                    context.balancers[peer].on_report(name, report)
            for transfer in balancer.transfer_promised(context.now):
                deliver(context, transfer)
            for peer, request in balancer.create_requests(context.now):
                gift = context.balancers[peer].on_request(
                    name, request, context.now
                )
                if gift is not None:
                    deliver(context, gift)
                    context.balancers[name].on_received(TEAM, context.now)
            one = context.ledgers[name]
            while context.waiting[name] > 0 and one.acquire(TEAM):
                context.runs[name] += 1
                ends.append((context.now + 1.0, name))


@behave.then("{a} holds at least {count:d} rights and all hold {limit:d}")
def check_share(context, a, count, limit):
    held = {name: one.held(TEAM) for name, one in context.ledgers.items()}
    assert held[a] >= count and sum(held.values()) == limit, held


@behave.then("both entries have run work in turn")
def check_turns(context):
    assert min(context.runs.values()) >= 3, context.runs


@behave.when("{a} hears that {b} has settled the lowering at offset {offset:d}")
def hear_settled(context, a, b, offset):
    context.ledgers[a].on_report(b, ledger.Report(offset))


@behave.then("{a} vouches for no lowering")
def check_no_vouch(context, a):
    assert context.ledgers[a].report(context.offset).opened < 11


@behave.then("{a} vouches for all lowerings")
def check_vouch(context, a):
    assert context.ledgers[a].report(context.offset).opened == context.offset
