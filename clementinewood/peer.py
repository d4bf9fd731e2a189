"""Authenticated links between entries, which carry thrift messages."""

import dataclasses
import enum
import hmac
import secrets
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from clementinewood import (
    event,
    identifiers,
    metric,
    peerwire,
    timer,
    transport,
)

REDIAL_SECONDS = 0.5
"""Seconds between connection attempts to an unreachable peer."""

ACKNOWLEDGE_TIMEOUT_SECONDS = 1.5
"""Seconds without an acknowledgement after which a link is aborted and dialled
again.

An open connection can stop delivering data permanently while new ones work.
"""

PROBE_PERIOD_SECONDS = 0.5
HANDSHAKE_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of a peer, authenticated with the cluster key.

    Attributes:
        entry: Configured name.
        incarnation: Incarnation of the entry.
        zone: Availability zone of the entry.
    """

    entry: identifiers.EntryId
    incarnation: identifiers.Incarnation
    zone: identifiers.ZoneId


class PeerListener(Protocol):
    """Handles messages and state changes of the links."""

    def on_message(self, peer: PeerIdentity, message: Any) -> None:
        """Called with each authenticated message."""

    def on_peer_up(self, peer: PeerIdentity) -> None:
        """Called when the first link to an incarnation is up."""

    def on_peer_down(self, peer: PeerIdentity) -> None:
        """Called when the last link to an incarnation has ended."""

    def on_peer_refused(
        self, entry: identifiers.EntryId, dialled_at: float
    ) -> None:
        """Called when the host of `entry` refuses the connection.

        The host is reachable but nothing listens, so a process that ran there
        at `dialled_at` (monotonic time) has ended.
        """


class _Phase(enum.Enum):
    CHALLENGE = "challenge"
    PROOF = "proof"
    UP = "up"


class PeerLink:
    """One connection to another entry; messages go both ways.

    Both sides send a challenge with a nonce and prove knowledge of the
    cluster key over both challenges; later frames carry a sequence number
    and a MAC with a key of the link and direction. Handshake frames carry a
    MAC with a key of the cluster.

    Args:
        hub: The hub that owns the link.
        dialled: The entry dialled, or None if the other side dialled.
    """

    def __init__(
        self, hub: "PeerHub", *, dialled: identifiers.EntryId | None
    ) -> None:
        self.dialled = dialled
        self.identity: PeerIdentity | None = None
        self.connection: transport.Connection | None = None
        self.dialled_at = hub.timers.clock()
        self.unacknowledged_since: float | None = None
        self._hub = hub
        self._reader = peerwire.FrameReader()
        self._phase = _Phase.CHALLENGE
        self._nonce = secrets.token_bytes(peerwire.NONCE_BYTES)
        self._peer_nonce = b""
        self._send_key = b""
        self._receive_key = b""
        self._sent = 0
        self._received = 0
        self._deadline: timer.Subscription | None = None

    @property
    def is_up(self) -> bool:
        """Whether the peer has authenticated itself."""
        return self._phase is _Phase.UP

    def on_open(self, connection: transport.Connection) -> None:
        """Starts the handshake."""
        self.connection = connection
        self._deadline = self._hub.timers.subscribe_once(
            HANDSHAKE_TIMEOUT_SECONDS, self._end_handshake
        )
        me = self._hub.identity
        self._send_handshake(
            peerwire.Challenge(
                version=peerwire.PROTOCOL_VERSION,
                entry=me.entry,
                incarnation=me.incarnation,
                zone=me.zone,
                nonce=self._nonce,
            )
        )

    def send(self, message: Any) -> bool:
        """Sends one message; returns False if the link is not up."""
        if not self.is_up or self.connection is None:
            return False
        body = peerwire.encode_frame(self._sent + 1, message)
        self._sent += 1
        mac = _compute_mac(self._send_key, body)
        data = peerwire.pack_frame(body, mac)
        if not self.connection.send(data):
            return False
        self._hub.count_sent(message, len(data))
        return True

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        """Handles frames; aborts the link on malformed ones."""
        try:
            for frame in self._reader.feed(data):
                self._receive(frame)
        except peerwire.FrameError as error:
            event.emit(event.Event.PEER_REFUSED, error=str(error))
            connection.abort("protocol error")

    def on_drained(self, connection: transport.Connection) -> None:
        """Does nothing, since messages are small and resent."""

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        """Reports the end of the link."""
        if self._deadline is not None:
            self._deadline.cancel()
        self._hub.end_link(self, reason)

    def _send_handshake(self, message: Any) -> None:
        assert self.connection is not None
        body = peerwire.encode_frame(0, message)
        mac = _compute_mac(self._hub.handshake_key, body)
        self.connection.send(peerwire.pack_frame(body, mac))

    def _end_handshake(self) -> None:
        if not self.is_up and self.connection is not None:
            self.connection.abort("handshake timed out")

    def _receive(self, frame: bytes) -> None:
        mac, body = frame[: peerwire.MAC_BYTES], frame[peerwire.MAC_BYTES :]
        key = self._receive_key if self.is_up else self._hub.handshake_key
        # Frames are authenticated before they are decoded: 25 unauthenticated
        # bytes that declare a long list cost the codec 0.15 s.
        if not hmac.compare_digest(_compute_mac(key, body), mac):
            raise peerwire.FrameError("MAC of the frame does not match")
        sequence, message = peerwire.decode_frame(body)
        if not self.is_up:
            self._receive_handshake(message)
            return
        if sequence != self._received + 1:
            raise peerwire.FrameError(
                f"frame {sequence} out of sequence after {self._received}"
            )
        self._received = sequence
        assert self.identity is not None
        match message:
            case peerwire.ProbeAck():
                self.unacknowledged_since = None
            case peerwire.Probe(sequence=number):
                self.send(peerwire.ProbeAck(number))
            case _:
                self._hub.deliver(self.identity, message)

    def _receive_handshake(self, message: Any) -> None:
        match self._phase, message:
            case _Phase.CHALLENGE, peerwire.Challenge():
                self._accept_challenge(message)
            case _Phase.PROOF, peerwire.Proof():
                expected = self._prove(sender_is_me=False)
                if not hmac.compare_digest(expected, message.mac or b""):
                    raise peerwire.FrameError("wrong proof of the cluster key")
                self._finish_handshake()
            case _:
                raise peerwire.FrameError(
                    f"unexpected message in phase {self._phase.value}"
                )

    def _accept_challenge(self, message: Any) -> None:
        if message.version != peerwire.PROTOCOL_VERSION:
            raise peerwire.FrameError(
                f"peer has protocol version {message.version}, "
                f"not {peerwire.PROTOCOL_VERSION}"
            )
        nonce = message.nonce or b""
        if len(nonce) != peerwire.NONCE_BYTES or nonce == self._nonce:
            # With a reflected nonce, a peer without the key could return our
            # own proof.
            raise peerwire.FrameError("nonce has a wrong length or is our own")
        self.identity = PeerIdentity(
            identifiers.EntryId(message.entry or ""),
            identifiers.Incarnation(message.incarnation or ""),
            identifiers.ZoneId(message.zone or ""),
        )
        if self.identity.incarnation == self._hub.identity.incarnation:
            raise peerwire.FrameError("peer has the incarnation of this entry")
        self._peer_nonce = nonce
        self._phase = _Phase.PROOF
        self._send_handshake(peerwire.Proof(mac=self._prove(sender_is_me=True)))

    def _encode_identity(self, *, mine: bool) -> bytes:
        identity = self._hub.identity if mine else self.identity
        assert identity is not None
        nonce = self._nonce if mine else self._peer_nonce
        parts = (identity.entry, identity.incarnation, identity.zone)
        return b"\x00".join([nonce, *(part.encode() for part in parts)])

    def _prove(self, *, sender_is_me: bool) -> bytes:
        # The sender's description goes first, so a proof can't be reflected.
        first = self._encode_identity(mine=sender_is_me)
        second = self._encode_identity(mine=not sender_is_me)
        return hmac.digest(
            self._hub.cluster_key, b"proof\x00" + first + second, "sha256"
        )

    def _derive_key(self, *, sender_is_me: bool) -> bytes:
        first = self._encode_identity(mine=sender_is_me)
        second = self._encode_identity(mine=not sender_is_me)
        return hmac.digest(
            self._hub.cluster_key, b"link\x00" + first + second, "sha256"
        )

    def _finish_handshake(self) -> None:
        self._send_key = self._derive_key(sender_is_me=True)
        self._receive_key = self._derive_key(sender_is_me=False)
        self._phase = _Phase.UP
        self._reader.limit = peerwire.MAX_FRAME_BYTES
        if self._deadline is not None:
            self._deadline.cancel()
        self._hub.start_link(self)


def _compute_mac(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[: peerwire.MAC_BYTES]


class PeerHub:
    """Manages all links of one entry.

    Each entry dials every configured peer; an entry prefers the link that
    it dialled and falls back to one that the peer dialled.

    Args:
        sockets: Transport that owns the sockets.
        timers: Timer service.
        identity: This entry.
        cluster_key: Secret shared by all entries of the site.
        peers: Peer listener addresses of the other entries.
        listener: Handles messages and state changes of the links.
        metrics: Counts messages and bytes.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        *,
        identity: PeerIdentity,
        cluster_key: bytes,
        peers: Mapping[identifiers.EntryId, tuple[str, int]],
        listener: PeerListener,
        metrics: metric.Metrics,
    ) -> None:
        self.timers = timers
        self.identity = identity
        self.cluster_key = cluster_key
        self.handshake_key = hmac.digest(cluster_key, b"handshake", "sha256")
        self._sockets = sockets
        self._peers = dict(peers)
        self._listener = listener
        self._metrics = metrics
        self._dialled: dict[identifiers.EntryId, PeerLink] = {}
        self._links: dict[identifiers.Incarnation, list[PeerLink]] = {}
        self._closed = False
        self._probes = 0

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listens on `address` and returns the bound address."""
        return self._sockets.listen(
            address, lambda peer: PeerLink(self, dialled=None)
        )

    def start_dialling(self) -> None:
        """Dials every peer, and starts to probe and redial the links."""
        for entry in self._peers:
            self._dial(entry)
        self.timers.subscribe_every(PROBE_PERIOD_SECONDS, self._probe_links)

    def list_up(self) -> list[PeerIdentity]:
        """Returns the peers to which a link is up."""
        return [
            links[0].identity
            for links in self._links.values()
            if links and links[0].identity is not None
        ]

    def send(self, member: identifiers.Incarnation, message: Any) -> bool:
        """Sends `message` to one incarnation; returns False without a link."""
        links = self._links.get(member, ())
        preferred = sorted(links, key=lambda link: link.dialled is None)
        return any(link.send(message) for link in preferred)

    def broadcast(self, message: Any) -> int:
        """Sends `message` to all linked peers; returns their number."""
        return sum(self.send(member, message) for member in list(self._links))

    def close(self) -> None:
        """Closes all links and stops dialling."""
        self._closed = True
        for links in list(self._links.values()):
            for link in list(links):
                if link.connection is not None:
                    link.connection.abort("closing")

    def deliver(self, peer: PeerIdentity, message: Any) -> None:
        """Passes an authenticated message to the listener."""
        self._listener.on_message(peer, message)

    def count_sent(self, message: Any, size: int) -> None:
        """Counts one message sent."""
        self._metrics.count(
            metric.PEER_MESSAGES, kind=peerwire.name_message(message)
        )
        self._metrics.count(metric.PEER_BYTES, size)

    def start_link(self, link: PeerLink) -> None:
        """Adds a link whose handshake is complete."""
        assert link.identity is not None
        links = self._links.setdefault(link.identity.incarnation, [])
        links.append(link)
        if len(links) == 1:
            event.emit(event.Event.PEER_UP, peer=link.identity.incarnation)
            self._listener.on_peer_up(link.identity)

    def end_link(self, link: PeerLink, reason: str) -> None:
        """Removes a closed link and schedules a redial."""
        self._metrics.count(metric.PEER_CLOSED, cause=reason)
        identity = link.identity
        if identity is not None:
            links = self._links.get(identity.incarnation, [])
            if link in links:
                links.remove(link)
                if not links:
                    del self._links[identity.incarnation]
                    event.emit(
                        event.Event.PEER_DOWN,
                        peer=identity.incarnation,
                        reason=reason,
                    )
                    self._listener.on_peer_down(identity)
        if link.dialled is None or self._closed:
            return
        if "ECONNREFUSED" in reason:
            self._listener.on_peer_refused(link.dialled, link.dialled_at)
        entry = link.dialled
        self.timers.subscribe_once(REDIAL_SECONDS, lambda: self._dial(entry))

    def _dial(self, entry: identifiers.EntryId) -> None:
        if self._closed:
            return
        link = PeerLink(self, dialled=entry)
        self._dialled[entry] = link
        self._sockets.connect(self._peers[entry], link, timeout=1.0)

    def _probe_links(self) -> None:
        """Aborts unresponsive links and probes the others."""
        now = self.timers.clock()
        for links in list(self._links.values()):
            for link in list(links):
                since = link.unacknowledged_since
                if since is None:
                    self._probes += 1
                    link.unacknowledged_since = now
                    link.send(peerwire.Probe(self._probes))
                elif (
                    now - since >= ACKNOWLEDGE_TIMEOUT_SECONDS
                    and link.connection
                ):
                    link.connection.abort("no acknowledgement")


class _Printer:
    """Prints the messages and state changes of the example below."""

    def __init__(self, on_message: Callable[[], None]) -> None:
        self._on_message = on_message

    def on_message(self, peer: PeerIdentity, message: Any) -> None:
        print(peer.entry, message)
        self._on_message()

    def on_peer_up(self, peer: PeerIdentity) -> None:
        print("up", peer.incarnation)

    def on_peer_down(self, peer: PeerIdentity) -> None:
        print("down", peer.incarnation)

    def on_peer_refused(
        self, entry: identifiers.EntryId, dialled_at: float
    ) -> None:
        print("refused", entry)


def _run_example() -> None:
    service = timer.TimerService()
    network = transport.Transport(service).register(service)
    hubs: list[PeerHub] = []
    addresses: dict[identifiers.EntryId, tuple[str, int]] = {}
    for name in ("entry-1", "entry-2"):
        entry = identifiers.EntryId(name)
        hub = PeerHub(
            network,
            service,
            identity=PeerIdentity(
                entry,
                identifiers.create_incarnation(entry),
                identifiers.ZoneId("hobart"),
            ),
            cluster_key=b"example",
            peers=dict(addresses),
            listener=_Printer(lambda: service.stop()),
            metrics=metric.Metrics(),
        )
        addresses[entry] = hub.listen(("127.0.0.1", 0))
        hubs.append(hub)
    hubs[1].start_dialling()

    def send() -> None:
        hubs[0].broadcast(peerwire.RelayRequest("control", 0))

    service.subscribe_once(
        0.2,
        send,
    )
    service.run()


if __name__ == "__main__":
    _run_example()
