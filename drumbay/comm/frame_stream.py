"""Frames on a TCP stream: a 4-byte big-endian length, then the frame."""

from tornado.iostream import IOStream

from drumbay.comm.codec import MAX_FRAME_BYTES, FrameTooLargeError

LENGTH_BYTES = 4
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
    # A stream that breaks is noticed by its reader; the outcome of the write is not needed.
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
