"""Simulated callers: each flow carries one request."""

import asyncio
import ipaddress
import itertools
import time
import zlib

from scripts.relaybed import packet as pk

SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
RETRANSMIT_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.6)
# Pause of a caller that couldn't open a flow.
REOPEN_S = 0.1
ATTEMPTS_MAX = 3


class Caller(asyncio.DatagramProtocol):
    """One caller's socket; spreads its flows over the balancers, as ECMP."""

    def __init__(self, ip_text, ip, port, balancers, record, flow_is_open=None):
        # Function of a flow and its endpoint's initial sequence number: name
        # of the endpoint that has the flow open, or None.
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
            self.check_reset((src, dst), opened.seq, packet)
            return None
        self.send(pk.Packet(src, dst, pk.FIN | pk.ACK, 101 + len(request),
                            ack))
        return packet.data

    def check_reset(self, flow, seq, packet):
        """Count and describe a reset of a flow that an endpoint has open."""
        holder = self.flow_is_open(flow, seq) if self.flow_is_open else None
        if not holder:
            return
        self.record["cut"] += 1
        host = f"{ipaddress.ip_address(flow[0][0])}:{flow[0][1]}"
        print(f"cut {time.time():.3f} caller={host} seq={seq} held_by={holder} "
              f"reset: flags={packet.flags} seq={packet.seq} "
              f"ack={packet.ack}", flush=True)

    async def exchange(self, flow, queue, seq, ack, request):
        """Send a request on an open flow; returns the answer, a reset, or None
        after all retransmissions."""
        for wait in RETRANSMIT_TIMEOUTS_S:
            self.send(pk.Packet(*flow, pk.ACK, seq, ack, request))
            packet = await self.receive(queue, wait,
                                        lambda p: p.data and p.seq == ack)
            if packet is not None:
                return packet
        return None

    async def converse(self, flow, queue, opened, requests, until):
        """Send requests on an open flow until the event is set or the flow
        ends; whether no request failed."""
        seq, ack = 101, opened.seq + 1 & 0xffffffff
        packet = opened
        while not until.is_set() and not packet.flags & pk.FIN:
            service, request, pause = next(requests)
            packet = await self.exchange(flow, queue, seq, ack, request)
            if packet is None:
                return False
            if packet.flags & pk.RST:
                self.check_reset(flow, opened.seq, packet)
                return False
            complete = packet.data == service.encode() + b":" + request
            self.record["crossed"] += not complete
            self.record["kept"] += complete
            seq += len(request)
            ack = ack + len(packet.data) & 0xffffffff
            idle = await self.receive(queue, pause, lambda p: False)
            if idle is not None:
                self.check_reset(flow, opened.seq, idle)
                return False
        self.send(pk.Packet(*flow, pk.FIN | pk.ACK, seq, ack))
        return True

    async def keep_open(self, dst, requests, until):
        """Keep one flow open at a time, with requests and pauses, until the
        event is set. Requests on it aren't tried again."""
        while not until.is_set():
            src = (self.ip, next(self.ports))
            queue = asyncio.Queue()
            self.waiting[(src[1], dst)] = queue
            opened = await self.open(src, dst, queue)
            if opened is None:
                self.record["unopened"] += 1
                await asyncio.sleep(REOPEN_S)
            elif not await self.converse((src, dst), queue, opened, requests,
                                         until):
                self.record["broken"] += 1
            del self.waiting[(src[1], dst)]

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
