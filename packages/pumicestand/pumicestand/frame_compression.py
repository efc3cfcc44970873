"""Compression of the frames on a connection between availability zones.

Traffic between zones is billed by the byte, and links of some VMs are narrow.
Most frames are calls and results, whose headers hardly differ from those of
earlier ones, so all frames of a direction share one DEFLATE stream. Each frame
is flushed, as it must not wait for the next one; the empty block that ends
each flush is left out, as in RFC 7692.
"""

import zlib

from pumicestand import errors

# Window of the stream, as a power of two in bytes, and the memory for its
# state: together 32 KB for a direction at the sender, 8 KB at the receiver.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
# Higher levels take more processor time and save hardly a byte.
LEVEL = 1
# Frames above this size are sent as they are: compressing one delays all
# others for several milliseconds.
MAX_COMPRESSED_BYTES = 262_144
_FLUSH_TAIL = b'\x00\x00\xff\xff'


class FrameCompressor:
    """Compresses the frames of one direction, in the order of sending."""

    def __init__(self):
        # Raw DEFLATE, without header and checksum.
        self._stream = zlib.compressobj(
            LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, frame):
        """Return a frame compressed.

        :param frame: bytes of the frame, without its length prefix
        """
        data = self._stream.compress(frame)
        data += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return data[: -len(_FLUSH_TAIL)]


class FrameDecompressor:
    """Decompresses the frames of one direction, in the order of sending.

    :param peer: name of the sender, for errors
    """

    def __init__(self, peer):
        self._peer = peer
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def decompress(self, data):
        """Return the frame that was compressed.

        :raises errors.InvalidFrameError: if the data is invalid, or the frame
            larger than `MAX_COMPRESSED_BYTES`
        """
        try:
            frame = self._stream.decompress(
                data + _FLUSH_TAIL, MAX_COMPRESSED_BYTES + 1
            )
        except zlib.error as error:
            raise errors.InvalidFrameError(
                errors.Code.FRAME_INVALID,
                f'a frame of {len(data)} bytes cannot be decompressed: '
                f'{error}',
                peer=self._peer,
            ) from error
        if len(frame) > MAX_COMPRESSED_BYTES:
            raise errors.InvalidFrameError(
                errors.Code.FRAME_TOO_LARGE,
                f'a compressed frame exceeds {MAX_COMPRESSED_BYTES} bytes',
                peer=self._peer,
            )
        return frame
