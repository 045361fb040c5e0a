"""Encoding of messages between nodes as msgpack frames.

A frame contains one :class:`Envelope`: the kind of frame, the call id, the type tag of the message
and the encoded message. The message is decoded in a second step with the class named by the tag,
so that only known classes are instantiated.
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
"""Largest encoded message that is guaranteed to fit into one datagram."""


class FrameError(TransportError):
    """A frame was rejected."""

    code = "frame"


class InvalidFrameError(FrameError):
    """A frame or its message is malformed."""

    code = "invalid_frame"


class FrameTooLargeError(FrameError):
    """A frame exceeds the size limit."""

    code = "frame_too_large"


class UnknownMessageTypeError(FrameError):
    """No message class has the frame's type tag."""

    code = "unknown_message_type"


class DuplicateMessageTypeError(FrameError):
    """Several message classes have the same type tag."""

    code = "duplicate_message_type"


class FrameKind(IntEnum):
    """Purpose of a frame."""

    REQUEST = 0
    REPLY = 1
    DATAGRAM = 2


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message with the metadata to route and decode it.

    Attributes:
        kind: Purpose of the frame.
        call_id: Id of the call on its connection; 0 for a datagram.
        type_tag: Tag of the message class.
        body: The encoded message.
    """

    kind: FrameKind
    call_id: int
    type_tag: str
    body: msgspec.Raw


def type_tag_of(message_type: type[Message]) -> str:
    """Return the tag of a message class on the wire."""
    return str(message_type.__struct_config__.tag)


def encoded_size_bytes(message: Message) -> int:
    """Return the size of an encoded message, without envelope and authentication."""
    return len(msgspec.msgpack.encode(message))


def encode_envelope(kind: FrameKind, call_id: int, message: Message) -> bytes:
    """Encode a message and its envelope."""
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

    Every imported subclass of :class:`Message` is known. Decoders are created on first use.
    """

    def __init__(self) -> None:
        """Create a registry without decoders."""
        self._decoders: dict[str, msgspec.msgpack.Decoder[Message]] = {}

    def decode(self, envelope: Envelope) -> Message:
        """Decode the message of an envelope.

        Raises:
            UnknownMessageTypeError: No class has the tag.
            DuplicateMessageTypeError: More than one class has the tag.
            InvalidFrameError: The body does not match the class.
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
        found = [
            candidate for candidate in _subclasses(Message) if type_tag_of(candidate) == type_tag
        ]
        if not found:
            raise UnknownMessageTypeError(f"no message class is named {type_tag!r}")
        if len(found) > 1:
            modules = ", ".join(sorted(candidate.__module__ for candidate in found))
            raise DuplicateMessageTypeError(f"{type_tag!r} is declared in {modules}")
        return found[0]
