"""Callers: flows with one request or with many and pauses between."""

import asyncio
import dataclasses
import itertools
import time

from review.standin2 import packet as pk

SYN_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6)
WINDOW = 76800


@dataclasses.dataclass
class Flow:
    """A flow as its caller sees it."""

    src: tuple
    dst: tuple
    queue: asyncio.Queue
    syn_at: float
    seq: int = 101
    ack: int = 0
    opened: bool = False
    reset_at: float = None
    failed_at: float = None
    closed: bool = False

    @property
    def key(self):
        """Key of the flow at endpoints."""
        return (self.src, self.dst)


class Caller(asyncio.DatagramProtocol):
    """One caller's address."""

    def __init__(self, bed, host):
        self.bed = bed
        self.host = host
        self.ip = bed.number(host)
        self.port_numbers = itertools.count(20000)
        self.flows = {}
        self.transport = None

    async def start(self):
        """Bind the port to which the system sends packets of callers."""
        self.transport, _ = await asyncio.get_running_loop() \
            .create_datagram_endpoint(
                lambda: self, local_addr=(self.host, self.bed.ports["data"]))

    def datagram_received(self, data, addr):
        """Give a packet to its flow."""
        packet = pk.decode(data)
        if packet is None or not (packet.is_valid() or
                                  packet.is_system_reset()):
            self.bed.garbled += 1
            return
        flow = self.flows.get((packet.dst, packet.src))
        if flow is None:
            return
        if packet.is_system_reset() and flow.opened and \
                (packet.seq - flow.ack + WINDOW & 0xffffffff) > 2 * WINDOW:
            return
        flow.queue.put_nowait(packet)

    def send(self, packet):
        """Send a packet as the fabric routes it."""
        target = self.bed.balancer_of((packet.src, packet.dst))
        if target is not None:
            self.transport.sendto(packet.encode(),
                                  (target, self.bed.ports["data"]))

    async def receive(self, flow, seconds, wanted):
        """The next reset or wanted packet, or None."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            try:
                packet = await asyncio.wait_for(flow.queue.get(), left)
            except asyncio.TimeoutError:
                return None
            if packet.flags & pk.RST:
                flow.reset_at = time.monotonic()
                return packet
            if wanted(packet):
                return packet
        return None

    async def open(self, dst, port=None, seq=100):
        """Open a flow, from a port of its own if none is given; returns it,
        with @opened false if that failed."""
        src = (self.ip, port or next(self.port_numbers))
        flow = Flow(src, dst, asyncio.Queue(), time.monotonic(), seq + 1)
        self.flows[flow.key] = flow
        for copy, wait in enumerate(SYN_S):
            self.send(pk.Packet(src, dst, pk.SYN, seq, copy))
            packet = await self.receive(flow, wait,
                                        lambda p: p.flags & pk.SYN)
            if packet is not None:
                break
        if packet is None or packet.flags & pk.RST:
            return flow
        flow.ack = packet.seq + 1 & 0xffffffff
        flow.opened = True
        return flow

    async def request(self, flow, data):
        """Send a request on an open flow; returns its answer or None."""
        for wait in RETRANSMIT_S:
            self.send(pk.Packet(*flow.key, pk.ACK, flow.seq, flow.ack, data))
            packet = await self.receive(
                flow, wait, lambda p: p.data and p.seq == flow.ack)
            if packet is not None:
                break
        if packet is None or packet.flags & pk.RST:
            flow.failed_at = time.monotonic()
            return None
        flow.seq = flow.seq + len(data) & 0xffffffff
        flow.ack = flow.ack + len(packet.data) & 0xffffffff
        self.send(pk.Packet(*flow.key, pk.ACK, flow.seq, flow.ack))
        if packet.flags & pk.FIN:
            flow.ack = flow.ack + 1 & 0xffffffff
            self.close(flow)
        return packet.data

    def close(self, flow):
        """Close a flow."""
        flow.closed = True
        self.send(pk.Packet(*flow.key, pk.ACK | pk.FIN, flow.seq, flow.ack))

    async def once(self, dst, data):
        """Open a flow for one request; whether it was answered."""
        flow = await self.open(dst)
        answer = await self.request(flow, data) if flow.opened else None
        if flow.opened and not flow.closed:
            self.close(flow)
        return answer is not None
