"""Callers: each flow carries one request and wants its whole answer."""

import asyncio
import itertools
import zlib

from scripts.relaybed import packet as pk

SYN_AT_S = (0.2, 0.4, 0.8)
RESEND_S = (0.2, 0.4, 0.8, 1.6)
TRIES = 3


class Caller(asyncio.DatagramProtocol):
    """One caller's address; the fabric hands its packets to balancers."""

    def __init__(self, ip_text, ip, port, balancers, record, holds=None):
        # Whether an endpoint still holds a flow, by its number.
        self.holds = holds
        self.local = (ip_text, port)
        self.ip = ip
        self.balancers = balancers
        self.record = record
        self.transport = None
        self.ports = itertools.count(10000)
        # Another one moves flows to other balancers.
        self.salt = 0
        # Port of the flow on which each request was answered.
        self.ports_of = {}
        self.waiting = {}

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.local)

    def send(self, packet):
        """Through whichever balancer the fabric picks for the flow."""
        number = self.salt + \
            zlib.crc32(repr((packet.src, packet.dst)).encode())
        targets = list(self.balancers)
        if targets:
            self.transport.sendto(packet.encode(),
                                  targets[number % len(targets)])

    def datagram_received(self, data, addr):
        packet = pk.decode(data)
        if packet is None or not packet.valid:
            self.record["garbled"] += 1
            return
        queue = self.waiting.get((packet.dst[1], packet.src))
        if queue is not None:
            queue.put_nowait(packet)

    async def answer(self, queue, seconds, wanted):
        """Next packet that is wanted, within the time; else None."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            try:
                packet = await asyncio.wait_for(
                    queue.get(), max(0, end - loop.time()))
            except asyncio.TimeoutError:
                return None
            if packet.flags & pk.RST or wanted(packet):
                return packet

    async def open(self, src, dst, queue):
        """The handshake; the endpoint's SYN+ACK or None."""
        for copy, wait in enumerate(SYN_AT_S):
            self.send(pk.Packet(src, dst, pk.SYN, 100, copy))
            packet = await self.answer(queue, wait,
                                       lambda p: p.flags & pk.SYN)
            if packet is not None:
                return None if packet.flags & pk.RST else packet
        return None

    async def attempt(self, dst, request, queue, src):
        """One flow with one request; its answer or None."""
        opened = await self.open(src, dst, queue)
        if opened is None:
            return None
        ack = opened.seq + 1 & 0xffffffff
        for wait in RESEND_S:
            self.send(pk.Packet(src, dst, pk.ACK, 101, ack, request))
            packet = await self.answer(queue, wait, lambda p: p.data)
            if packet is not None:
                break
        else:
            return None
        if packet.flags & pk.RST:
            if self.holds is not None and self.holds((src, dst), opened.seq):
                self.record["cut"] += 1
            return None
        self.send(pk.Packet(src, dst, pk.FIN | pk.ACK, 101 + len(request),
                            ack))
        return packet.data

    async def ask(self, dst, service, request):
        """A request that may be repeated; whether it was answered whole."""
        for turn in range(TRIES):
            src = (self.ip, next(self.ports))
            queue = asyncio.Queue()
            key = (src[1], dst)
            self.waiting[key] = queue
            text = request + f"/{turn}".encode()
            answer = await self.attempt(dst, text, queue, src)
            del self.waiting[key]
            if answer is not None:
                whole = answer == service.encode() + b":" + text
                self.ports_of[request] = src[1]
                self.record["crossed"] += not whole
                self.record["answered"] += whole
                return
            self.record["retried"] += 1
        self.record["failed"] += 1
