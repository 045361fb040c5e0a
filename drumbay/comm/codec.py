"""Encoding of messages between nodes as msgpack frames.

A frame carries one :class:`Envelope`: what the frame is for, the identity of its call, the
type tag of the message and the encoded message itself. The message is decoded in a second
step by the class that the tag names, so that only registered classes are ever built.
"""

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from drumbay.comm.interface import Message, TransportError

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame on a connection, authentication included."""

MAX_DATAGRAM_BYTES = 1200
"""Largest datagram; below the smallest path MTU in use, so it is never fragmented."""

ENVELOPE_OVERHEAD_BYTES = 160
"""Upper bound on what envelope and authentication add to an encoded message."""

MAX_DATAGRAM_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_OVERHEAD_BYTES
"""Largest encoded message that surely fits into one datagram."""


class FrameError(TransportError):
    """A frame was refused."""

    code = "frame"


class InvalidFrameError(FrameError):
    """A frame or its message does not have the expected shape."""

    code = "invalid_frame"


class FrameTooLargeError(FrameError):
    """A frame is larger than the limit."""

    code = "frame_too_large"


class UnknownMessageTypeError(FrameError):
    """No message class has the type tag of the frame."""

    code = "unknown_message_type"


class DuplicateMessageTypeError(FrameError):
    """Two message classes share one type tag."""

    code = "duplicate_message_type"


class FrameKind(IntEnum):
    """What a frame is for."""

    REQUEST = 0
    REPLY = 1
    DATAGRAM = 2


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message with what is needed to route and decode it.

    Attributes:
        kind: What the frame is for.
        call_id: Identity of the call on its connection; 0 for a datagram.
        type_tag: Tag of the message class.
        body: The encoded message.
    """

    kind: FrameKind
    call_id: int
    type_tag: str
    body: msgspec.Raw


def type_tag_of(message_type: type[Message]) -> str:
    """Return the tag that names a message class on the wire."""
    return str(message_type.__struct_config__.tag)


def encoded_size_bytes(message: Message) -> int:
    """Return the size of an encoded message, without envelope and authentication."""
    return len(msgspec.msgpack.encode(message))


def encode_envelope(kind: FrameKind, call_id: int, message: Message) -> bytes:
    """Encode a message in its envelope."""
    envelope = Envelope(
        kind=kind,
        call_id=call_id,
        type_tag=type_tag_of(type(message)),
        body=msgspec.Raw(msgspec.msgpack.encode(message)),
    )
    return msgspec.msgpack.encode(envelope)


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Decode an envelope; its message stays encoded.

    Raises:
        InvalidFrameError: The payload is not an envelope.
    """
    try:
        return _ENVELOPE_DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        raise InvalidFrameError(str(error)) from error


def _subclasses(message_type: type[Message]) -> Iterator[type[Message]]:
    for subclass in message_type.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)


class MessageRegistry:
    """Finds message classes by tag and decodes messages with them.

    Every imported subclass of :class:`Message` is known. A decoder is built at the first
    use of its class.
    """

    def __init__(self) -> None:
        """Create a registry without decoders."""
        self._decoders: dict[str, msgspec.msgpack.Decoder[Message]] = {}

    def decode(self, envelope: Envelope) -> Message:
        """Decode the message of an envelope.

        Raises:
            UnknownMessageTypeError: No class has the tag.
            DuplicateMessageTypeError: More than one class has the tag.
            InvalidFrameError: The body does not fit the class.
        """
        decoder = self._decoders.get(envelope.type_tag)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(self._find(envelope.type_tag))
            self._decoders[envelope.type_tag] = decoder
        try:
            return decoder.decode(envelope.body)
        except msgspec.MsgspecError as error:
            raise InvalidFrameError(f"{envelope.type_tag}: {error}") from error

    def _find(self, type_tag: str) -> type[Message]:
        found = [each for each in _subclasses(Message) if type_tag_of(each) == type_tag]
        if not found:
            raise UnknownMessageTypeError(f"no message class is named {type_tag!r}")
        if len(found) > 1:
            modules = ", ".join(sorted(each.__module__ for each in found))
            raise DuplicateMessageTypeError(f"{type_tag!r} is declared in {modules}")
        return found[0]
