"""Frames on a TCP stream: a 4-byte big-endian length, then the frame.

The accepting side sends first: its first frame is a nonce to which all later frames are bound.
"""

import secrets

from tornado.iostream import IOStream

from drumbay.comm.codec import MAX_FRAME_BYTES, FrameTooLargeError, InvalidFrameError

LENGTH_BYTES = 4
NONCE_BYTES = 16
MAX_WRITE_BUFFER_BYTES = 4 * MAX_FRAME_BYTES


def write_frame(stream: IOStream, frame: bytes) -> None:
    """Queue one frame on a stream.

    Raises:
        FrameTooLargeError: The frame exceeds the limit; nothing was queued.
        tornado.iostream.StreamClosedError: The stream was closed; nothing was queued.
        tornado.iostream.StreamBufferFullError: The peer reads too slowly; nothing was queued.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"frame of {len(frame)} bytes, limit {MAX_FRAME_BYTES}")
    length = len(frame).to_bytes(LENGTH_BYTES, "big")
    written = stream.write(length + frame)
    # The reader of the stream detects that it broke, so the result of the write is ignored.
    written.add_done_callback(lambda future: future.exception())


async def read_frame(stream: IOStream) -> bytes:
    """Read one frame.

    Raises:
        FrameTooLargeError: The announced length exceeds the limit; close the stream.
        tornado.iostream.StreamClosedError: The stream ended.
    """
    length = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"frame of {length} bytes announced, limit {MAX_FRAME_BYTES}")
    return await stream.read_bytes(length)


def send_nonce(stream: IOStream) -> str:
    """Generate and send the nonce of an accepted connection; return it.

    Raises:
        tornado.iostream.StreamClosedError: The stream was closed.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    write_frame(stream, nonce)
    return nonce.hex()


async def receive_nonce(stream: IOStream) -> str:
    """Read the nonce of an opened connection.

    Raises:
        InvalidFrameError: The peer did not send a nonce.
        FrameTooLargeError: The announced length exceeds the limit.
        tornado.iostream.StreamClosedError: The stream ended.
    """
    nonce = await read_frame(stream)
    if len(nonce) != NONCE_BYTES:
        raise InvalidFrameError(f"a nonce of {len(nonce)} bytes")
    return nonce.hex()


def bind_to_connection(destination: str, nonce: str) -> str:
    """Return the destination that is signed into the frames of one connection."""
    return f"{destination}/{nonce}"
