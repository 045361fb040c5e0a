"""Frames: encoding, authentication, replay windows and size limits."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.clock import SystemClock
from drumbay.comm.authentication import (
    FIRST_FRAME_MAX_AGE_SECONDS,
    REPLAY_WINDOW_FRAMES,
    BadTagError,
    DatagramOpener,
    FrameSealer,
    InvalidClusterKeyError,
    ReplayedFrameError,
    ReplayWindow,
    UnknownBootError,
)
from drumbay.comm.codec import (
    ENVELOPE_OVERHEAD_BYTES,
    FrameKind,
    InvalidFrameError,
    MessageRegistry,
    UnknownMessageTypeError,
    decode_envelope,
    encode_envelope,
    encoded_size_bytes,
)
from drumbay.comm.interface import Failure, Message
from drumbay.identifiers import BootId

KEY = b"a cluster key of 32 bytes length"


class FrameSample(Message, frozen=True, kw_only=True):
    number: int
    body: bytes = b""


class OtherFrameSample(Message, frozen=True, kw_only=True):
    number: str


class ManualClock(SystemClock):
    """A clock that is advanced manually."""

    def __init__(self, wall: float = 1_000_000.0) -> None:
        self.now = wall

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        message = FrameSample(number=7, body=b"\x00\xff")
        envelope = decode_envelope(encode_envelope(FrameKind.REQUEST, 3, message))
        self.assertEqual((envelope.kind, envelope.call_id), (FrameKind.REQUEST, 3))
        self.assertEqual(MessageRegistry().decode(envelope), message)

    def test_unknown_type_and_mismatched_body_are_rejected(self) -> None:
        registry = MessageRegistry()
        good = decode_envelope(encode_envelope(FrameKind.REPLY, 1, FrameSample(number=1)))
        unknown = type(good)(kind=good.kind, call_id=1, type_tag="NoSuchClass", body=good.body)
        mismatched = type(good)(
            kind=good.kind, call_id=1, type_tag="OtherFrameSample", body=good.body
        )
        with self.assertRaises(UnknownMessageTypeError):
            registry.decode(unknown)
        with self.assertRaises(InvalidFrameError):
            registry.decode(mismatched)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=200))
    def test_malformed_envelope_is_rejected(self, garbage: bytes) -> None:
        with self.assertRaises(InvalidFrameError):
            decode_envelope(garbage)

    def test_overhead_is_below_its_bound(self) -> None:
        message = Failure(code="code", detail="x" * 1000)
        payload = encode_envelope(FrameKind.DATAGRAM, 2**32, message)
        sealer = FrameSealer(KEY, BootId("0123456789abcdef"), ManualClock())
        overhead = len(sealer.seal("255.255.255.255:65535", payload)) - encoded_size_bytes(message)
        self.assertLessEqual(overhead, ENVELOPE_OVERHEAD_BYTES)


class AuthenticationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.sealer = FrameSealer(KEY, BootId("boot-a"), self.clock)
        self.clock.now += 1.0
        self.opener = DatagramOpener(KEY, self.clock)

    def test_opens_once(self) -> None:
        frame = self.sealer.seal("b", b"payload")
        opened = self.opener.open("b", frame)
        self.assertEqual((opened.boot_id, opened.payload), ("boot-a", b"payload"))
        with self.assertRaises(ReplayedFrameError):
            self.opener.open("b", frame)

    def test_every_flipped_byte_is_refused(self) -> None:
        frame = self.sealer.seal("b", b"payload")
        for position in range(len(frame)):
            altered = bytearray(frame)
            altered[position] ^= 0x01
            with self.assertRaises((BadTagError, InvalidFrameError)):
                self.opener.open("b", bytes(altered))

    def test_other_key_or_destination_is_refused(self) -> None:
        with self.assertRaises(BadTagError):
            self.opener.open("c", self.sealer.seal("b", b"payload"))
        other = FrameSealer(KEY[::-1], BootId("boot-a"), self.clock)
        with self.assertRaises(BadTagError):
            self.opener.open("b", other.seal("b", b"payload"))

    def test_restarted_receiver_rejects_frames_accepted_by_its_previous_boot(self) -> None:
        frame = self.sealer.seal("b", b"payload")
        self.opener.open("b", frame)
        self.clock.now += 10.0
        restarted = DatagramOpener(KEY, self.clock)
        with self.assertRaises(UnknownBootError):
            restarted.open("b", frame)
        restarted.open("b", self.sealer.seal("b", b"payload"))

    def test_restarted_receiver_rejects_older_frames_of_a_new_sender(self) -> None:
        """A window opened by a newer frame must reject frames that the previous boot accepted."""
        old_frame = self.sealer.seal("b", b"payload")
        self.opener.open("b", old_frame)
        self.clock.now += 10.0
        restarted = DatagramOpener(KEY, self.clock)
        restarted.open("b", self.sealer.seal("b", b"payload"))
        with self.assertRaises(ReplayedFrameError):
            restarted.open("b", old_frame)

    def test_old_first_frame_is_rejected_and_late_frames_of_a_known_boot_are_accepted(self) -> None:
        first, second, third = (self.sealer.seal("b", b"payload") for _ in range(3))
        self.opener.open("b", first)
        self.opener.open("b", third)
        self.clock.now += FIRST_FRAME_MAX_AGE_SECONDS + 1.0
        self.opener.open("b", second)
        fresh = DatagramOpener(KEY, ManualClock(0.0))
        with self.assertRaises(UnknownBootError):
            fresh.open("b", second)
        fresh.accept_boot(BootId("boot-a"), counter=2)
        with self.assertRaises(ReplayedFrameError):
            fresh.open("b", second)
        fresh.open("b", third)

    def test_short_key_is_refused(self) -> None:
        with self.assertRaises(InvalidClusterKeyError):
            DatagramOpener(b"short", self.clock)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(min_value=0, max_value=3 * REPLAY_WINDOW_FRAMES), max_size=60))
    def test_window_accepts_no_counter_twice_and_every_recent_one(
        self, counters: list[int]
    ) -> None:
        window = ReplayWindow(first_counter=1)
        accepted: list[int] = []
        for counter in counters:
            highest = max(accepted, default=0)
            recent = counter > highest - REPLAY_WINDOW_FRAMES and counter >= 1
            self.assertEqual(window.accept(counter), recent and counter not in accepted)
            if recent:
                accepted.append(counter)
