"""Authentication of frames with the cluster key, and replay protection.

Each frame carries an HMAC-SHA-256 tag truncated to 128 bits (RFC 2104, section 5) over its
header, its payload and the destination. The header contains the sender's boot id and a counter
that increases with every frame of that boot.

On a connection, the destination includes a nonce chosen by the accepting side, and counters must
increase: a frame is not valid on another connection or a second time.

Datagrams have no such handshake. A receiver keeps a sliding window over the counters of each boot
(as IPsec does, RFC 4303, section 3.4.3). The wall clock matters only for the first frame of an
unknown boot and for frames with lower counters than that one: they must be recent and not older
than the receiver itself. This limits what can be replayed to a process that has restarted and lost
its windows. A boot that fails this check is queried over a connection (see
:mod:`drumbay.comm.introduction`).
"""

import hashlib
import hmac

import msgspec

from drumbay.clock import Clock
from drumbay.comm.codec import FrameError, InvalidFrameError
from drumbay.exceptions import ConfigurationError
from drumbay.identifiers import BootId

MIN_CLUSTER_KEY_BYTES = 16
TAG_BYTES = 16
REPLAY_WINDOW_FRAMES = 1024
FIRST_FRAME_MAX_AGE_SECONDS = 60.0
CLOCK_SKEW_ALLOWANCE_SECONDS = 5.0
SENDER_IDLE_SECONDS = 2 * FIRST_FRAME_MAX_AGE_SECONDS
MAX_SENDERS = 8192


class InvalidClusterKeyError(ConfigurationError):
    """The cluster key is too short."""

    code = "invalid_cluster_key"


class BadTagError(FrameError):
    """The tag of a frame is wrong: another key, another destination or altered bytes."""

    code = "bad_frame_tag"


class ReplayedFrameError(FrameError):
    """A frame was seen before, or is too old for the replay window."""

    code = "replayed_frame"


class UnknownBootError(FrameError):
    """A datagram of an unknown boot has a timestamp too far from the current time."""

    code = "unfamiliar_boot"


class TooManySendersError(FrameError):
    """The receiver cannot keep a replay window for another boot."""

    code = "too_many_senders"


class FrameHeader(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Sender and time of a frame.

    Attributes:
        boot_id: Boot of the sender.
        counter: Number of the frame within the boot, from 1.
        wall_seconds: The sender's wall clock.
    """

    boot_id: BootId
    counter: int
    wall_seconds: float


class SealedFrame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A frame on the wire: tag, encoded header and payload."""

    tag: bytes
    header: bytes
    payload: bytes


class OpenedFrame(msgspec.Struct, frozen=True, kw_only=True):
    """A frame whose tag and counter were accepted."""

    boot_id: BootId
    payload: bytes


_SEALED_DECODER = msgspec.msgpack.Decoder(SealedFrame)
_HEADER_DECODER = msgspec.msgpack.Decoder(FrameHeader)


def _compute_tag(key: bytes, destination: str, header: bytes, payload: bytes) -> bytes:
    # NOTE: msgpack delimits the three parts, so no two frames share the signed bytes.
    signed = msgspec.msgpack.encode((destination, header, payload))
    return hmac.digest(key, signed, hashlib.sha256)[:TAG_BYTES]


def _check_key(cluster_key: bytes) -> bytes:
    if len(cluster_key) < MIN_CLUSTER_KEY_BYTES:
        raise InvalidClusterKeyError(f"the cluster key needs {MIN_CLUSTER_KEY_BYTES} bytes")
    return cluster_key


class FrameSealer:
    """Signs the frames that one boot sends."""

    def __init__(self, cluster_key: bytes, boot_id: BootId, clock: Clock) -> None:
        """Create a sealer whose counter starts at 1.

        Raises:
            InvalidClusterKeyError: The key is too short.
        """
        self._key = _check_key(cluster_key)
        self._boot_id = boot_id
        self._clock = clock
        self._counter = 0

    @property
    def counter(self) -> int:
        """Return the counter of the last frame."""
        return self._counter

    def seal(self, destination: str, payload: bytes) -> bytes:
        """Return a frame for ``destination`` that carries ``payload``."""
        self._counter += 1
        header = msgspec.msgpack.encode(
            FrameHeader(
                boot_id=self._boot_id,
                counter=self._counter,
                wall_seconds=self._clock.wall(),
            )
        )
        tag = _compute_tag(self._key, destination, header, payload)
        return msgspec.msgpack.encode(SealedFrame(tag=tag, header=header, payload=payload))


class ReplayWindow:
    """Sliding window over the accepted counters of one sender.

    Attributes:
        first_counter: Counter of the first accepted frame.
        last_used_seconds: Monotonic time of the last frame.
    """

    def __init__(self, first_counter: int) -> None:
        """Create an empty window that starts at ``first_counter``."""
        self.first_counter = first_counter
        self._highest = 0
        self._seen = 0
        self.last_used_seconds = 0.0

    def accept(self, counter: int) -> bool:
        """Record a counter; return whether it is new and inside the window."""
        if counter < 1:
            return False
        if counter > self._highest:
            # NOTE: an unlimited shift would build a huge integer after a long gap.
            shift = min(counter - self._highest, REPLAY_WINDOW_FRAMES)
            mask = (1 << REPLAY_WINDOW_FRAMES) - 1
            self._seen = ((self._seen << shift) | 1) & mask
            self._highest = counter
            return True
        distance = self._highest - counter
        if distance >= REPLAY_WINDOW_FRAMES:
            return False
        bit = 1 << distance
        if self._seen & bit:
            return False
        self._seen |= bit
        return True


class _VerifiedFrame(msgspec.Struct, frozen=True, kw_only=True):
    """A frame with a valid tag."""

    header: FrameHeader
    payload: bytes


def _verify(key: bytes, destination: str, frame: bytes) -> _VerifiedFrame:
    try:
        sealed = _SEALED_DECODER.decode(frame)
    except msgspec.MsgspecError as error:
        raise InvalidFrameError(str(error)) from error
    expected = _compute_tag(key, destination, sealed.header, sealed.payload)
    if not hmac.compare_digest(expected, sealed.tag):
        raise BadTagError("the tag does not match the frame")
    try:
        header = _HEADER_DECODER.decode(sealed.header)
    except msgspec.MsgspecError as error:
        raise InvalidFrameError(str(error)) from error
    return _VerifiedFrame(header=header, payload=sealed.payload)


class ConnectionOpener:
    """Verifies the frames of one direction of one connection, which arrive in order."""

    def __init__(self, cluster_key: bytes) -> None:
        """Create an opener that has seen no frame.

        Raises:
            InvalidClusterKeyError: The key is too short.
        """
        self._key = _check_key(cluster_key)
        self._last_counter = 0

    def open(self, destination: str, frame: bytes) -> OpenedFrame:
        """Verify a frame that should be for ``destination``.

        Raises:
            InvalidFrameError: The bytes are not a sealed frame.
            BadTagError: The tag is wrong.
            ReplayedFrameError: The counter has not increased.
        """
        verified = _verify(self._key, destination, frame)
        counter = verified.header.counter
        if counter <= self._last_counter:
            raise ReplayedFrameError(f"counter {counter} after {self._last_counter}")
        self._last_counter = counter
        return OpenedFrame(boot_id=verified.header.boot_id, payload=verified.payload)


class DatagramOpener:
    """Verifies datagrams, which may be reordered, lost or duplicated."""

    def __init__(self, cluster_key: bytes, clock: Clock) -> None:
        """Create an opener that knows no sender.

        Raises:
            InvalidClusterKeyError: The key is too short.
        """
        self._key = _check_key(cluster_key)
        self._clock = clock
        self._started_wall_seconds = clock.wall()
        self._windows: dict[BootId, ReplayWindow] = {}

    def open(self, destination: str, frame: bytes) -> OpenedFrame:
        """Verify a frame that should be for ``destination``.

        Raises:
            InvalidFrameError: The bytes are not a sealed frame.
            BadTagError: The tag is wrong.
            ReplayedFrameError: The frame was seen before or is too old for the window.
            UnknownBootError: The boot is unknown and the timestamp is not recent.
            TooManySendersError: The sender is new and the table of senders is full.
        """
        verified = _verify(self._key, destination, frame)
        header = verified.header
        window = self._window_of(header)
        if not window.accept(header.counter):
            raise ReplayedFrameError(f"counter {header.counter} was seen before or is too old")
        window.last_used_seconds = self._clock.monotonic()
        return OpenedFrame(boot_id=header.boot_id, payload=verified.payload)

    def accept_boot(self, boot_id: BootId, counter: int) -> None:
        """Accept frames of a boot after ``counter``, regardless of its clock.

        Raises:
            TooManySendersError: The table of senders is full.
        """
        if boot_id not in self._windows:
            self._add_window(boot_id, counter + 1)

    def _window_of(self, header: FrameHeader) -> ReplayWindow:
        window = self._windows.get(header.boot_id)
        if window is None:
            if not self._is_recent(header):
                raise UnknownBootError(f"boot {header.boot_id} is unknown")
            return self._add_window(header.boot_id, header.counter)
        # NOTE: frames below the first one may predate this process, and its previous boot may
        # already have accepted them.
        if header.counter < window.first_counter and not self._is_recent(header):
            raise ReplayedFrameError(f"counter {header.counter} is older than this process")
        return window

    def _add_window(self, boot_id: BootId, first_counter: int) -> ReplayWindow:
        if len(self._windows) >= MAX_SENDERS:
            self._drop_idle_senders()
        if len(self._windows) >= MAX_SENDERS:
            raise TooManySendersError(f"{MAX_SENDERS} senders are in use")
        window = ReplayWindow(first_counter)
        window.last_used_seconds = self._clock.monotonic()
        self._windows[boot_id] = window
        return window

    def _is_recent(self, header: FrameHeader) -> bool:
        """Return whether a frame's timestamp is recent and not older than this process."""
        age_seconds = self._clock.wall() - header.wall_seconds
        oldest_seconds = self._started_wall_seconds - CLOCK_SKEW_ALLOWANCE_SECONDS
        is_in_time = abs(age_seconds) <= FIRST_FRAME_MAX_AGE_SECONDS
        return is_in_time and header.wall_seconds >= oldest_seconds

    def _drop_idle_senders(self) -> None:
        """Drop windows that have been idle until a replay would fail the age check.

        NOTE: dropping one earlier would allow its last frames to be replayed.
        """
        oldest_seconds = self._clock.monotonic() - SENDER_IDLE_SECONDS
        for boot_id, window in list(self._windows.items()):
            if window.last_used_seconds < oldest_seconds:
                del self._windows[boot_id]
