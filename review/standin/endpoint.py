"""An endpoint beside a node: flows, slots, liveness reports, draining."""

import asyncio
import dataclasses
import random
import time

from review.standin import http
from review.standin import packet as pk

SLOTS = 2
QUEUE = 8
RETRANSMITS_MAX = 8


@dataclasses.dataclass
class Flow:
    """A flow that the endpoint holds; open once its seq is acknowledged."""

    seq: int
    caller_seq: int
    took_at: float
    open: bool = False
    received: int = 0
    sent: int = 0
    acked: int = 0
    closing: bool = False
    answer: pk.Packet = None


class Endpoint(asyncio.DatagramProtocol):
    """One endpoint process; each start is a new boot with a new id."""

    def __init__(self, name, service, zone, app, outbound, control, record,
                 heartbeat_s, work_s=0.02, first_sequence=1):
        self.name, self.service, self.zone = name, service, zone
        self.app, self.outbound, self.control = app, outbound, control
        self.record, self.heartbeat_s = record, heartbeat_s
        self.work_s, self.first_sequence = work_s, first_sequence
        self.transport = self.listener = self.task = None
        self.flows, self.ended = {}, set()
        self.id, self.state, self.sequence = "", "ready", 0
        self.draining_ack_at = None
        self.running = 0
        self.slots = None

    async def start(self):
        """Start a boot."""
        self.id = f"i-{random.getrandbits(40):010x}"
        self.flows, self.ended = {}, set()
        self.state, self.sequence = "ready", self.first_sequence - 1
        self.draining_ack_at = None
        self.running = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.transport, _ = await asyncio.get_running_loop() \
            .create_datagram_endpoint(lambda: self, local_addr=self.app)
        self.listener = await asyncio.start_server(self.on_health, *self.app)
        self.task = asyncio.create_task(self.heartbeats())
        self.record.write("endpoint_started", endpoint=self.name, id=self.id)

    async def on_health(self, reader, writer):
        """Answer a health check."""
        if await http.read_message(reader) is not None:
            writer.write(http.response(200 if self.state == "ready" else 503))
        writer.close()

    def stop(self, how):
        """End the process; flows are discarded."""
        for flow in self.flows.values():
            if flow.open and not flow.closing and flow.answer is None \
                    and flow.received:
                self.record.count("unanswered_at_end", self.id)
        self.task.cancel()
        self.transport.abort()
        self.listener.close()
        self.record.write("endpoint_ended", endpoint=self.name, id=self.id,
                          how=how)

    def report_body(self):
        """Body of the next liveness report."""
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.app[0]}:{self.app[1]}", "zone": self.zone,
                "version": "v1", "slots": SLOTS, "state": self.state,
                "warmupLeftMs": 0, "sequence": self.sequence}

    async def report(self):
        """Send a liveness report to the node; returns the status."""
        body = self.report_body()
        status = await http.call(self.control, "PUT", f"/instances/{self.id}",
                                 body)
        if 200 <= status < 300 and body["state"] == "draining" and \
                self.draining_ack_at is None:
            self.draining_ack_at = time.monotonic()
            self.record.write("draining_confirmed", endpoint=self.name,
                              id=self.id, sequence=body["sequence"])
        return status

    async def heartbeats(self):
        """Report about every heartbeat_s."""
        while True:
            await self.report()
            await asyncio.sleep(self.heartbeat_s)

    async def leave(self):
        """Say goodbye and exit."""
        self.task.cancel()
        await http.call(self.control, "DELETE", f"/instances/{self.id}")
        self.stop("left")

    def send(self, packet):
        """Send a packet to the node."""
        if not self.transport.is_closing():
            self.transport.sendto(packet.encode(), self.outbound)

    def bounce(self, packet, raw):
        """Return a packet that the endpoint doesn't hold."""
        head = bytearray(raw)
        head[26] |= pk.BOUNCED
        head[27:30] = b"\0\0\0"
        self.record.count("bounced", self.name)
        if not self.transport.is_closing():
            self.transport.sendto(bytes(head), self.outbound)

    def datagram_received(self, data, addr):
        packet = pk.decode(data)
        if packet is None or not packet.valid():
            self.record.write("forged", endpoint=self.name)
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & pk.SYN:
            self.on_syn(key, flow, packet)
        elif flow is None and key in self.ended:
            self.on_ended(packet)
        elif flow is None or (
                not flow.open and packet.ack != flow.seq + 1 & pk.MASK):
            self.bounce(packet, data)
        else:
            self.on_packet(key, flow, packet)

    def on_syn(self, key, flow, packet):
        """Accept a SYN, or repeat the answer to it."""
        if flow is None:
            flow = Flow(random.getrandbits(32), packet.seq, time.monotonic())
            flow.sent = flow.acked = flow.seq + 1 & pk.MASK
            self.flows[key] = flow
            self.ended.discard(key)
            self.record.took(self, key, flow)
        self.send(pk.Packet(packet.dst, packet.src, pk.SYN | pk.ACK, flow.seq,
                            packet.seq + 1))

    def on_ended(self, packet):
        """Answer on a flow that has ended here."""
        if packet.flags & pk.FIN:
            self.send(pk.Packet(packet.dst, packet.src, pk.ACK, packet.ack,
                                packet.seq + len(packet.data) + 1))
        elif packet.data:
            self.send(pk.Packet(packet.dst, packet.src, pk.RST | pk.ACK,
                                packet.ack, packet.seq))

    def on_packet(self, key, flow, packet):
        """Handle a packet of a flow that the endpoint holds."""
        if not flow.open:
            flow.open = True
            flow.received = flow.caller_seq + 1 & pk.MASK
            self.record.write("flow_open", endpoint=self.name,
                              caller=key[0][1])
        if packet.flags & pk.ACK:
            flow.acked = packet.ack
        if packet.flags & (pk.RST | pk.FIN):
            del self.flows[key]
            self.ended.add(key)
            if packet.flags & pk.FIN:
                self.on_ended(packet)
        elif packet.data and packet.seq & pk.MASK == flow.received:
            flow.received = flow.received + len(packet.data) & pk.MASK
            flow.answer = None
            asyncio.ensure_future(self.run(key, flow, packet))
        elif packet.data and flow.answer is not None:
            self.send(flow.answer)

    async def run(self, key, flow, packet):
        """Run a request and answer it."""
        boot = self.id
        attempt = packet.data.decode().split("X-Attempt-Id: ")[1].split("\r")[0]
        full = self.running >= SLOTS + QUEUE
        if not full:
            self.running += 1
            async with self.slots:
                if boot != self.id or self.transport.is_closing():
                    return
                self.record.ran(self, attempt, packet.dst)
                await asyncio.sleep(self.work_s)
            self.running -= 1
        status, extra = (503, "X-Not-Executed: 1\r\n") if full else (200, "")
        text = f"{self.name}:{attempt}"
        answer = (f"HTTP/1.1 {status} Status\r\n{extra}"
                  f"X-Response-Seal: {hash(text) & pk.MASK}\r\n"
                  f"Content-Length: {len(text)}\r\n\r\n{text}").encode()
        end = pk.FIN if self.state == "draining" else 0
        flow.closing = bool(end)
        flow.answer = pk.Packet(packet.dst, packet.src, pk.ACK | end,
                                flow.sent, flow.received, answer)
        flow.sent = flow.sent + len(answer) + bool(end) & pk.MASK
        wait = 0.2
        for _ in range(RETRANSMITS_MAX + 1):
            if self.flows.get(key) is not flow or flow.acked == flow.sent or \
                    self.transport.is_closing():
                return
            self.send(flow.answer)
            await asyncio.sleep(wait)
            wait = min(2 * wait, 1.6)
