"""An endpoint beside an agent, as the platform's pages describe it."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

from review.standin2 import packet as pk

HEARTBEAT_S = 1.2
ACK_TIMEOUT_S = 1.0
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6)


@dataclasses.dataclass
class Flow:
    """One flow; it is open once the caller has acknowledged @seq."""

    seq: int
    syn_seq: int
    open_at: float = None
    ended: bool = False
    received: int = 0
    sent: int = 0
    acked: int = 0
    answers: dict = dataclasses.field(default_factory=dict)


class Endpoint(asyncio.DatagramProtocol):
    """One boot of an endpoint."""

    ids = itertools.count(1)

    def __init__(self, bed, host, service, with_born=True, slots=2,
                 work_s=0.005, warmup_s=0.0):
        self.bed = bed
        self.host = host
        self.service = service
        self.with_born = with_born
        self.work_s = work_s
        self.warmup_s = warmup_s
        self.slots_count = slots
        self.slots = None
        self.id = f"i-{next(self.ids):04x}"
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.drain_acked_at = None
        self.started_at = 0.0
        self.flows = {}
        # (time, flow) of each SYN that was new to this boot.
        self.accepted = []
        # (time, flow) of each packet of a flow that this boot doesn't hold.
        self.foreign = []
        # (time, flow) of each packet of an open flow.
        self.own = []
        self.transport = self.task = self.listener = None
        self.reported = asyncio.Event()

    async def start(self):
        """Bind, listen for health checks and begin to send heartbeats."""
        self.slots = asyncio.Semaphore(self.slots_count)
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        address = (self.host, self.bed.ports["app"])
        self.transport, _ = await asyncio.get_running_loop() \
            .create_datagram_endpoint(lambda: self, local_addr=address)
        self.listener = await asyncio.start_server(self.serve_health, *address)
        self.task = asyncio.create_task(self.send_heartbeats())
        self.bed.note(f"endpoint {self.id} of {self.service} starts at "
                      f"{self.host}")

    def crash(self):
        """End without a word."""
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.listener is not None:
            self.listener.close()

    async def serve_health(self, reader, writer):
        """Answer a liveness check."""
        try:
            await reader.readline()
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n".encode())
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def heartbeat(self):
        """Body of the next heartbeat."""
        self.sequence += 1
        left = self.warmup_s - (time.monotonic() - self.started_at)
        body = {"service": self.service,
                "address": f"{self.host}:{self.bed.ports['app']}",
                "zone": "here", "version": "v1", "slots": self.slots_count,
                "state": self.state, "warmupLeftMs": max(0, int(left * 1000)),
                "sequence": self.sequence}
        if self.with_born:
            body["born"] = self.born
        return body

    async def report(self):
        """Send one heartbeat; whether it was acknowledged."""
        body = self.heartbeat()
        status = await self.bed.call(self.host, "PUT",
                                     f"/instances/{self.id}", body)
        acked = status is not None and 200 <= status < 300
        if body["state"] == "draining":
            self.bed.note(f"endpoint {self.id} reports draining: "
                          f"{status}")
            if acked and self.drain_acked_at is None:
                self.drain_acked_at = time.monotonic()
        return acked

    async def send_heartbeats(self):
        """Report about each HEARTBEAT_S."""
        while not self.bed.closing:
            await self.report()
            self.reported.set()
            await asyncio.sleep(HEARTBEAT_S)

    async def until_reported(self):
        """Wait until the next heartbeat has been answered."""
        self.reported.clear()
        await self.reported.wait()

    def drain(self):
        """Report draining now and from now on."""
        self.state = "draining"
        self.task.cancel()
        self.task = asyncio.create_task(self.send_heartbeats())

    def send(self, packet):
        """Send a packet through the agent."""
        if not self.transport.is_closing():
            self.transport.sendto(packet.encode(),
                                  (self.host, self.bed.ports["outbound"]))

    def datagram_received(self, data, addr):
        """Handle a packet of a caller."""
        packet = pk.decode(data)
        now = time.monotonic()
        if packet is None or not packet.is_valid():
            self.bed.garbled += 1
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & pk.SYN:
            self.take_syn(key, flow, packet, now)
        elif flow is None or packet.ack - flow.seq & 0xffffffff > 1 << 20:
            self.foreign.append((now, key))
            packet.flags |= pk.BOUNCED
            self.send(packet)
        elif flow.ended:
            self.answer_ended(packet)
        else:
            if flow.open_at is None:
                flow.open_at = now
            self.own.append((now, key))
            self.take_data(key, flow, packet)

    def take_syn(self, key, flow, packet, now):
        """Accept a flow, or repeat the SYN+ACK."""
        if flow is None or flow.syn_seq != packet.seq:
            flow = Flow(random.getrandbits(31) + 1, packet.seq)
            flow.received = packet.seq + 1 & 0xffffffff
            flow.sent = flow.seq + 1 & 0xffffffff
            self.flows[key] = flow
            self.accepted.append((now, key))
        self.send(pk.Packet(packet.dst, packet.src, pk.SYN | pk.ACK, flow.seq,
                            packet.seq + 1 & 0xffffffff))

    def answer_ended(self, packet):
        """Answer a packet of a flow that has ended here."""
        flags = pk.RST | pk.ACK if packet.data else pk.ACK
        if packet.data or packet.flags & pk.FIN:
            self.send(pk.Packet(packet.dst, packet.src, flags, packet.ack,
                                packet.seq + len(packet.data) + 1
                                & 0xffffffff))

    def take_data(self, key, flow, packet):
        """Run a request that is new, or repeat its answer."""
        flow.acked = packet.ack
        if packet.flags & pk.RST:
            flow.ended = True
        elif packet.data and packet.seq == flow.received:
            flow.received = flow.received + len(packet.data) & 0xffffffff
            self.bed.ran.append((time.monotonic(), self.service, packet.data))
            asyncio.ensure_future(self.work(key, flow, packet))
        elif packet.data and packet.seq in flow.answers:
            self.send(flow.answers[packet.seq])
        elif packet.flags & pk.FIN:
            flow.ended = True
            self.answer_ended(packet)

    async def work(self, key, flow, packet):
        """Work on a request and answer it."""
        async with self.slots:
            await asyncio.sleep(self.work_s)
        end = pk.FIN if self.state == "draining" else 0
        data = b"ok " + packet.data
        answer = pk.Packet(packet.dst, packet.src, pk.ACK | end, flow.sent,
                           flow.received, data)
        flow.answers[packet.seq] = answer
        flow.sent = flow.sent + len(data) + (end != 0) & 0xffffffff
        flow.ended |= end != 0
        for wait in RETRANSMIT_S:
            self.send(answer)
            await asyncio.sleep(wait)
            if flow.ended or flow.acked == flow.sent:
                return
