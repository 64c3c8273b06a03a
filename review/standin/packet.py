"""Packets of flows: a head of 34 bytes, little-endian, and up to 1,200 bytes."""

import dataclasses
import ipaddress
import struct
import zlib

BOUNCED, SYN, RST, ACK, FIN = 1, 4, 8, 64, 128
HEAD = struct.Struct("<HIHIIIIHB3sI")
KEY = b"a key that the system doesn't know"
# A reset of the system is accepted on an open flow if its sequence number is
# this close to the requester's last acknowledgement.
RESET_WINDOW = 76800
MASK = 0xffffffff


def number(ip_text):
    """An IPv4 address as an integer."""
    return int(ipaddress.ip_address(ip_text))


@dataclasses.dataclass
class Packet:
    """One packet; src and dst are (IPv4 address as an integer, port)."""

    src: tuple
    dst: tuple
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    total: int = 0

    def checksum(self):
        """Keyed sum over all fields except echo, pad and BOUNCED."""
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq,
                     self.ack)).encode()
        return zlib.crc32(KEY + text + self.data)

    def valid(self):
        """Whether the sum is that of the sender."""
        return self.total == self.checksum()

    def encode(self):
        """Bytes of a packet of this sender."""
        return HEAD.pack(self.dst[1], self.src[0], self.src[1], self.dst[0],
                         self.seq & MASK, self.ack & MASK, self.checksum(),
                         len(self.data), self.flags, b"\0\0\0",
                         self.echo) + self.data


def decode(raw):
    """Decode a packet, or None."""
    if len(raw) < HEAD.size:
        return None
    dport, src, sport, dst, seq, ack, total, size, flags, _, echo = \
        HEAD.unpack_from(raw)
    if size != len(raw) - HEAD.size:
        return None
    return Packet((src, sport), (dst, dport), flags, seq, ack,
                  raw[HEAD.size:], echo, total)
