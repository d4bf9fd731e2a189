"""Decides which requests are admitted, by key, team and queue.

The decision depends only on the accepted bundle and the request. The caller
checks that the bundle is fresh.
"""

import dataclasses
import hashlib
import hmac
from collections.abc import Mapping
from typing import Any, Protocol

from clementinewood import identifiers, priority, verdict

OPEN_TEAM = identifiers.TeamId("open")
"""Built-in team of requests without a key on open queues."""

MAX_CREDENTIALS_LENGTH = 512
"""Length in characters above which credentials are rejected unchecked; issued
keys are shorter."""

_ABSENT_DIGEST = hashlib.sha256(b"").digest()


class QueueSpec(Protocol):
    """Fields of a declared queue that admission reads."""

    @property
    def teams(self) -> frozenset[identifiers.TeamId]: ...  # noqa: D102
    @property
    def open(self) -> bool: ...  # noqa: D102
    @property
    def closing(self) -> bool: ...  # noqa: D102
    @property
    def priority(self) -> Any: ...  # noqa: D102


class KeySpec(Protocol):
    """Fields of a declared key that admission reads."""

    @property
    def team(self) -> identifiers.TeamId: ...  # noqa: D102
    @property
    def customer(self) -> identifiers.CustomerId | None: ...  # noqa: D102
    @property
    def digest(self) -> bytes: ...  # noqa: D102
    @property
    def state(self) -> Any: ...  # noqa: D102


class Bundle(Protocol):
    """Fields of a bundle that admission reads."""

    @property
    def version(self) -> int: ...  # noqa: D102
    @property
    def queues(self) -> Mapping[identifiers.QueueId, Any]: ...  # noqa: D102
    @property
    def teams(self) -> Mapping[identifiers.TeamId, Any]: ...  # noqa: D102
    @property
    def keys(self) -> Mapping[identifiers.KeyId, Any]: ...  # noqa: D102


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to queue one request.

    Attributes:
        queue: Queue of the request.
        team: Team whose usage it counts for.
        customer: Customer within the team, for round robin; may be empty.
        priority: Class of the queue, the highest that the request may have.
        key: Key that was presented, if any.
        version: Version of the bundle that the decision is based on.
    """

    queue: identifiers.QueueId
    team: identifiers.TeamId
    customer: identifiers.CustomerId
    priority: priority.Priority
    key: identifiers.KeyId | None
    version: int


class Admission:
    """Decides which requests a bundle admits.

    Args:
        bundle: Accepted configuration.
    """

    def __init__(self, bundle: Bundle) -> None:
        self.bundle = bundle

    def admit(
        self,
        queue: identifiers.QueueId,
        credentials: str | None,
        customer: identifiers.CustomerId | None = None,
    ) -> Grant | verdict.Refusal:
        """Checks a request's key against the queue that it names.

        The key is checked before the queue is looked up, so that a caller
        without a valid key can't find out which queues exist, apart from open
        ones.

        Args:
            queue: Queue named in the request.
            credentials: Content of `Authorization` after `Bearer`, if any.
            customer: Content of `X-Customer`, if any; used only when the key
                is not bound to a customer.
        """
        spec = self.bundle.queues.get(queue)
        if credentials is None:
            if spec is not None and spec.open:
                return self._grant(queue, spec, OPEN_TEAM, customer, None)
            return verdict.Refusal(
                verdict.Reason.KEY_MISSING, detail="This queue needs a key."
            )
        key_id, key = self._find_key(credentials)
        if key is None:
            return verdict.Refusal(
                verdict.Reason.KEY_UNKNOWN, detail="The key is not known."
            )
        if key.state.name != "GRANTED":
            return verdict.Refusal(
                verdict.Reason.KEY_REVOKED, detail="The key is revoked."
            )
        if spec is None:
            return verdict.Refusal(
                verdict.Reason.QUEUE_UNKNOWN, detail="There is no such queue."
            )
        if key.team not in self.bundle.teams or not (
            spec.open or key.team in spec.teams
        ):
            return verdict.Refusal(
                verdict.Reason.QUEUE_FORBIDDEN,
                detail="The key's team may not use this queue.",
            )
        return self._grant(
            queue, spec, key.team, key.customer or customer, key_id
        )

    def _find_key(
        self, credentials: str
    ) -> tuple[identifiers.KeyId | None, KeySpec | None]:
        """Returns the key whose secret was presented.

        Unknown key ids are hashed and compared too, so that the response time
        does not reveal which ids exist.
        """
        if len(credentials) > MAX_CREDENTIALS_LENGTH:
            return None, None
        name, _, secret = credentials.partition(".")
        key_id = identifiers.KeyId(name)
        key = self.bundle.keys.get(key_id)
        expected = _ABSENT_DIGEST if key is None else key.digest
        presented = hashlib.sha256(
            secret.encode("utf-8", "surrogatepass")
        ).digest()
        matches = hmac.compare_digest(presented, expected)
        if key is None or not secret or not matches:
            return None, None
        return key_id, key

    def _grant(
        self,
        queue: identifiers.QueueId,
        spec: QueueSpec,
        team: identifiers.TeamId,
        customer: identifiers.CustomerId | None,
        key: identifiers.KeyId | None,
    ) -> Grant | verdict.Refusal:
        if spec.closing:
            # A queue must be drained before a later bundle may remove it.
            return verdict.Refusal(
                verdict.Reason.QUEUE_CLOSING,
                detail="The queue takes no new requests.",
            )
        return Grant(
            queue=queue,
            team=team,
            customer=customer or identifiers.CustomerId(""),
            priority=priority.Priority[spec.priority.name],
            key=key,
            version=self.bundle.version,
        )


if __name__ == "__main__":
    import types

    queue = types.SimpleNamespace(
        teams=frozenset(), open=True, priority=priority.Priority.INTERACTIVE
    )
    bundle = types.SimpleNamespace(
        version=1, queues={"quotes": queue}, teams={}, keys={}
    )
    print(Admission(bundle).admit(identifiers.QueueId("quotes"), None))
