"""Simulated callers: each flow carries one request."""

import asyncio
import itertools
import zlib

from scripts.relaybed import packet as pk

SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
RETRANSMIT_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.6)
ATTEMPTS_MAX = 3


class Caller(asyncio.DatagramProtocol):
    """One caller's socket; spreads its flows over the balancers, as ECMP."""

    def __init__(self, ip_text, ip, port, balancers, record, flow_is_open=None):
        # Function of a flow and its endpoint's initial sequence number: whether
        # that endpoint has the flow open.
        self.flow_is_open = flow_is_open
        self.local = (ip_text, port)
        self.ip = ip
        self.balancers = balancers
        self.record = record
        self.transport = None
        self.ports = itertools.count(10000)
        # A change moves flows to other balancers.
        self.ecmp_salt = 0
        # Source port of the flow that answered each request.
        self.answered_ports = {}
        self.waiting = {}

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.local)

    def send(self, packet):
        """Send a packet to the balancer that the flow's hash selects."""
        number = self.ecmp_salt + \
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

    async def receive(self, queue, seconds, wanted):
        """The next reset or wanted packet; None after the timeout."""
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
        """Do the handshake; returns the SYN+ACK, or None if it failed."""
        for copy, wait in enumerate(SYN_TIMEOUTS_S):
            self.send(pk.Packet(src, dst, pk.SYN, 100, copy))
            packet = await self.receive(queue, wait,
                                       lambda p: p.flags & pk.SYN)
            if packet is not None:
                return None if packet.flags & pk.RST else packet
        return None

    async def attempt(self, dst, request, queue, src):
        """Send a request on a new flow; returns its answer or None."""
        opened = await self.open(src, dst, queue)
        if opened is None:
            return None
        ack = opened.seq + 1 & 0xffffffff
        for wait in RETRANSMIT_TIMEOUTS_S:
            self.send(pk.Packet(src, dst, pk.ACK, 101, ack, request))
            packet = await self.receive(queue, wait, lambda p: p.data)
            if packet is not None:
                break
        else:
            return None
        if packet.flags & pk.RST:
            if self.flow_is_open is not None and \
                    self.flow_is_open((src, dst), opened.seq):
                self.record["cut"] += 1
            return None
        self.send(pk.Packet(src, dst, pk.FIN | pk.ACK, 101 + len(request),
                            ack))
        return packet.data

    async def request_with_retries(self, dst, service, request):
        """Send a request on up to ATTEMPTS_MAX flows and count the outcome."""
        for attempt_number in range(ATTEMPTS_MAX):
            src = (self.ip, next(self.ports))
            queue = asyncio.Queue()
            key = (src[1], dst)
            self.waiting[key] = queue
            text = request + f"/{attempt_number}".encode()
            answer = await self.attempt(dst, text, queue, src)
            del self.waiting[key]
            if answer is not None:
                complete = answer == service.encode() + b":" + text
                self.answered_ports[request] = src[1]
                self.record["crossed"] += not complete
                self.record["answered"] += complete
                return
            self.record["retried"] += 1
        self.record["failed"] += 1
