"""Requesters and the platform's routers before the front nodes."""

import asyncio
import itertools
import random
import time
import zlib

from review.standin import http
from review.standin import packet as pk

SYN_WAITS_S = (0.2, 0.4, 0.8)
READY_INTERVAL_S = 0.5
MISSES_MAX = 2
BUDGET_S = 2.0


class Router:
    """Hashes flows over the nodes that are in rotation."""

    def __init__(self, nodes, ready_port, data_port):
        self.nodes, self.ready_port = nodes, ready_port
        self.data_port = data_port
        self.misses = {node: MISSES_MAX for node in nodes}
        self.tasks = []

    def start(self):
        """Start to probe the nodes."""
        self.tasks = [asyncio.create_task(self.probe(node))
                      for node in self.nodes]

    async def probe(self, node):
        """Probe a node twice a second."""
        while True:
            status = await http.call((node, self.ready_port), "GET", "/ready",
                                     timeout=READY_INTERVAL_S)
            self.misses[node] = 0 if status == 200 else self.misses[node] + 1
            await asyncio.sleep(READY_INTERVAL_S)

    def in_rotation(self):
        """Nodes in rotation; all if these are fewer than half."""
        ready = [node for node in self.nodes
                 if self.misses[node] < MISSES_MAX]
        return ready if 2 * len(ready) >= len(self.nodes) else self.nodes

    def node_of(self, packet):
        """The node that gets a packet."""
        nodes = self.in_rotation()
        value = zlib.crc32(repr((packet.src, packet.dst)).encode())
        return nodes[value % len(nodes)]


class Caller(asyncio.DatagramProtocol):
    """One requester."""

    ids = itertools.count(1)

    def __init__(self, ip, router, record):
        self.ip, self.router, self.record = ip, router, record
        self.address = pk.number(ip)
        self.transport = None
        self.ports = itertools.count(20000)
        self.queues = {}

    async def start(self):
        """Open the socket."""
        self.transport, _ = await asyncio.get_running_loop() \
            .create_datagram_endpoint(
                lambda: self, local_addr=(self.ip, self.router.data_port))

    def send(self, packet, node=None):
        """Send a packet through the routers, or to a node directly."""
        target = node or self.router.node_of(packet)
        self.transport.sendto(packet.encode(),
                              (target, self.router.data_port))

    def datagram_received(self, data, addr):
        packet = pk.decode(data)
        queue = packet and self.queues.get((packet.dst[1], packet.src))
        if queue is not None:
            queue.put_nowait(packet)

    @staticmethod
    async def receive(queue, wait_s):
        """The next packet, or None."""
        try:
            return await asyncio.wait_for(queue.get(), wait_s)
        except TimeoutError:
            return None

    async def open(self, src, dst, queue, node):
        """Open a flow; returns (outcome, sequence number of the endpoint)."""
        seq = random.getrandbits(32)
        for copy, wait_s in enumerate(SYN_WAITS_S):
            self.send(pk.Packet(src, dst, pk.SYN, seq, copy), node)
            end = time.monotonic() + wait_s
            while (left := end - time.monotonic()) > 0:
                packet = await self.receive(queue, left)
                if packet is None:
                    break
                if packet.flags & pk.RST:
                    return "refused", seq, 0
                if packet.flags & pk.SYN and packet.valid():
                    return "open", seq, packet.seq
        return "no_answer", seq, 0

    async def exchange(self, flow, queue, seq, ack, text, node):
        """Send a request on an open flow; returns (outcome, answer)."""
        end = time.monotonic() + BUDGET_S
        wait_s = 0.2
        while time.monotonic() < end:
            self.send(pk.Packet(*flow, pk.ACK, seq, ack, text), node)
            again = time.monotonic() + min(wait_s, end - time.monotonic())
            wait_s = min(2 * wait_s, 1.6)
            while (left := again - time.monotonic()) > 0:
                packet = await self.receive(queue, left)
                if packet is None:
                    break
                if packet.flags & pk.RST:
                    near = packet.seq - ack + pk.RESET_WINDOW & pk.MASK
                    if packet.valid() or (packet.total == 0 and
                                          near <= 2 * pk.RESET_WINDOW):
                        return "reset_by_endpoint" if packet.valid() else \
                            "reset_by_system", packet
                elif packet.data and packet.valid() and packet.seq == ack:
                    return "answered", packet
        return "deadline", None

    async def flow(self, dst, kind, requests=1, pause_s=0.0, node=None):
        """Open a flow and send requests on it; records each. Returns the
        outcome of the last."""
        src = (self.address, next(self.ports))
        queue = self.queues[src[1], dst] = asyncio.Queue()
        sent_at = time.monotonic()
        outcome, seq, endpoint_seq = await self.open(src, dst, queue, node)
        if outcome != "open":
            self.record.request(kind, "-", src, dst, sent_at, outcome, node)
        seq, ack = seq + 1 & pk.MASK, endpoint_seq + 1 & pk.MASK
        for i in range(requests if outcome == "open" else 0):
            if i > 0:
                await asyncio.sleep(pause_s)
                sent_at = time.monotonic()
            attempt = f"a{next(self.ids)}"
            text = (f"POST / HTTP/1.1\r\nHost: a\r\n"
                    f"X-Attempt-Id: {attempt}\r\n"
                    f"Content-Length: 0\r\n\r\n").encode()
            outcome, packet = await self.exchange((src, dst), queue, seq, ack,
                                                  text, node)
            self.record.request(kind, attempt, src, dst, sent_at, outcome,
                                node)
            if outcome != "answered":
                break
            if attempt not in packet.data.decode():
                self.record.write("foreign_answer", attempt=attempt)
            seq = seq + len(text) & pk.MASK
            ack = ack + len(packet.data) & pk.MASK
            if packet.flags & pk.FIN:
                ack = ack + 1 & pk.MASK
                break
            self.send(pk.Packet(src, dst, pk.ACK, seq, ack), node)
        if outcome == "answered":
            self.send(pk.Packet(src, dst, pk.FIN | pk.ACK, seq, ack), node)
        del self.queues[src[1], dst]
        return outcome
