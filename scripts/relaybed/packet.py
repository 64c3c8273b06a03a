"""Wire format of the packets of callers and endpoints."""

import dataclasses
import struct
import zlib

SYN, RST, ACK, FIN, BOUNCED = 4, 8, 64, 128, 1
HEAD = struct.Struct("<HIHIIIIHB3sI")
KEY = b"relaybed"


@dataclasses.dataclass
class Packet:
    """One packet; addresses are (IPv4 address as an integer, port)."""

    src: tuple
    dst: tuple
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    valid: bool = True

    def checksum(self):
        """Keyed checksum of all fields that relays must not change."""
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq,
                     self.ack)).encode()
        return zlib.crc32(KEY + text + self.data)

    def encode(self):
        """Encode the packet."""
        return HEAD.pack(self.dst[1], self.src[0], self.src[1], self.dst[0],
                         self.seq, self.ack, self.checksum(), len(self.data),
                         self.flags, b"\0\0\0", 0) + self.data


def decode(raw):
    """Decode a packet; None if it is too short. Resets sent by balancers and
    agents have no checksum."""
    if len(raw) < HEAD.size:
        return None
    dport, src, sport, dst, seq, ack, total, size, flags, _, _ = \
        HEAD.unpack_from(raw)
    packet = Packet((src, sport), (dst, dport), flags, seq, ack,
                    raw[HEAD.size:])
    packet.valid = size == len(packet.data) and (
        packet.checksum() == total or (flags & RST and total == 0))
    return packet
