"""Packets of callers and endpoints, by the platform's example."""

import dataclasses
import struct
import zlib

BOUNCED, SYN, RST, ACK, FIN = 1, 4, 8, 64, 128
HEAD = struct.Struct("<HIHIIIIHB3sI")
KEY = b"review"


@dataclasses.dataclass
class Packet:
    """One packet; ends are (IPv4 address as an integer, port)."""

    src: tuple
    dst: tuple
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    total: int = None

    def checksum(self):
        """Keyed sum over all fields that relays must not change."""
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq,
                     self.ack)).encode()
        return zlib.crc32(KEY + text + self.data) or 1

    def encode(self):
        """Encode the packet."""
        return HEAD.pack(self.dst[1], self.src[0], self.src[1], self.dst[0],
                         self.seq, self.ack, self.checksum(), len(self.data),
                         self.flags, b"\0\0\0", 0) + self.data

    def is_valid(self):
        """Whether its sender wrote it so."""
        return self.total == self.checksum()

    def is_system_reset(self):
        """Whether it is a reset that the system sent itself."""
        return self.flags == RST and self.total == 0 and not self.data


def decode(raw):
    """Decode a packet; None if it is malformed."""
    if len(raw) < HEAD.size:
        return None
    dport, src, sport, dst, seq, ack, total, size, flags, _, _ = \
        HEAD.unpack_from(raw)
    if size != len(raw) - HEAD.size:
        return None
    return Packet((src, sport), (dst, dport), flags, seq, ack,
                  raw[HEAD.size:], total)
