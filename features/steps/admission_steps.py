"""Steps for admission."""

import enum
import hashlib
import hmac
import types
from unittest import mock

import behave
from hypothesis import strategies

from clementinewood import admission, verdict
from clementinewood.priority import Priority, limit_priority
from features import histories


class KeyState(enum.Enum):
    GRANTED = 1
    REVOKED = 2


def build_key(team, *, state=KeyState.GRANTED, customer=None, secret="secret"):
    digest = hashlib.sha256(secret.encode()).digest()
    return types.SimpleNamespace(
        team=team, customer=customer, digest=digest, state=state
    )


def build_queue(*teams, open=False, closing=False):  # noqa: A002
    return types.SimpleNamespace(
        teams=frozenset(teams),
        open=open,
        closing=closing,
        priority=Priority.INTERACTIVE,
    )


@behave.given("a bundle with a granted, a revoked and an orphaned key")
def create_bundle(context):
    context.admission = admission.Admission(
        types.SimpleNamespace(
            version=7,
            teams={"guild": None, "open": None},
            queues={
                "quotes": build_queue("guild", "gone"),
                "stores": build_queue("other"),
                "open": build_queue(open=True),
                "old": build_queue("guild", closing=True),
            },
            keys={
                "good": build_key("guild", customer="kiosk"),
                "free": build_key("guild"),
                "empty": build_key("guild", secret=""),
                "revoked": build_key("guild", state=KeyState.REVOKED),
                "orphan": build_key("gone"),
            },
        )
    )


@behave.when('credentials "{credentials}" ask for queue "{queue}"')
def ask(context, credentials, queue):
    context.answer = context.admission.admit(
        queue, None if credentials == "-" else credentials
    )


@behave.then("admission answers {answer}")
def check_answer(context, answer):
    match context.answer:
        case admission.Grant(team=team, version=7):
            found = f"team {team}"
        case verdict.Refusal(reason=reason, execution=execution):
            assert execution is verdict.Execution.NOT_RUN
            found = reason.value
    assert found == answer, found


@behave.then(
    'key "{key}" runs as customer "{customer}" whatever the request says'
)
def check_bound(context, key, customer):
    grant = context.admission.admit("quotes", f"{key}.secret", "another")
    assert grant.customer == customer


@behave.then('key "{key}" runs as the customer that the request names')
def check_free(context, key):
    grant = context.admission.admit("quotes", f"{key}.secret", "another")
    assert grant.customer == "another"


@behave.then(
    "known, unknown and revoked keys each take one constant-time comparison"
)
def check_comparisons(context):
    for key in ("good", "missing", "revoked"):
        with mock.patch.object(
            hmac, "compare_digest", wraps=hmac.compare_digest
        ) as compare:
            context.admission.admit("quotes", f"{key}.secret")
        assert compare.call_count == 1, key


guesses = strategies.one_of(
    strategies.text(max_size=30),
    strategies.builds(
        "{}.{}".format,
        strategies.sampled_from(["good", "free", "revoked", "orphan", "x"]),
        strategies.text(alphabet="secrt\ud800", max_size=7),
    ),
)


def find_admitted(context):
    def check(credentials):
        if credentials.partition(".")[2] == "secret":
            return
        for queue in ("quotes", "open", "none"):
            answer = context.admission.admit(queue, credentials)
            assert isinstance(answer, verdict.Refusal), credentials

    return histories.fails(check, guesses, examples=300)


@behave.given("an admission that compares prefixes")
def compare_prefixes(context):
    keys = context.admission.bundle.keys

    class Prefix(admission.Admission):
        def _find_key(self, credentials):
            name = credentials.partition(".")[0]
            return name, keys.get(name)

    context.admission = Prefix(context.admission.bundle)


@behave.then("no generated credentials are admitted")
def check_guesses(context):
    assert not find_admitted(context)


@behave.then("some generated credentials are admitted")
def check_guesses_fail(context):
    assert find_admitted(context)


@behave.then("credentials of {size:d} characters are refused as {reason}")
def check_oversized(context, size, reason):
    answer = context.admission.admit("quotes", "good." + "s" * size)
    assert answer.reason.value == reason


@behave.then('class "{asked}" on a queue of class "{ceiling}" gives "{result}"')
def check_class(context, asked, ceiling, result):
    requested = None if asked == "-" else Priority(asked)
    assert limit_priority(requested, Priority(ceiling)) is Priority(result)
