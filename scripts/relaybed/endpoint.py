"""A simulated endpoint: two slots, a queue, heartbeats and a health check."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

from scripts.relaybed import packet as pk
from scripts.relaybed.loop_watch import TICK_S

SLOTS = 2
DATA_CENTRE = "here"
WORK_S = 0.005
HEARTBEAT_S = 0.2
# Acknowledgements beyond the initial sequence number by more than this belong
# to another endpoint's handshake.
ACK_OFFSET_MAX = 100000
# Times that an answer is sent until its caller acknowledges it.
ANSWERS_MAX = 3
ANSWER_TIMEOUT_S = 0.3
# An endpoint resets unknown flows for this long after its start.
STARTUP_RESET_S = 0.1
# New flows that arrived later than this after the draining was acknowledged are
# violations; a second, less two ticks by which their arrival is uncertain.
DRAIN_GRACE_S = 1 - 2 * TICK_S
# Delay from the start to the listener for health checks.
LISTEN_DELAY_S = 0.02


@dataclasses.dataclass
class Flow:
    """An open flow; the caller's first byte has sequence number 101."""

    seq: int
    received: int = 101
    sent: int = 0
    acked: int = 0
    running: bool = False
    answer: pk.Packet = None

    def __post_init__(self):
        self.sent = self.seq + 1 & 0xffffffff


class Endpoint(asyncio.DatagramProtocol):
    """One endpoint; exchanges packets only with the agent on its host."""

    id_counter = itertools.count(1)

    def __init__(self, service, address, outbound, heartbeats, record,
                 loop_watch):
        self.loop_watch = loop_watch
        self.service = service
        self.address = address
        self.outbound = outbound
        self.heartbeats = heartbeats
        self.record = record
        self.transport = None
        self.task = None
        self.flows = {}
        self.slots = asyncio.Semaphore(SLOTS)
        self.state = "ready"
        self.starts = 0
        self.sequence = 0
        self.id = ""
        self.incarnation = 0
        self.drained_at = None
        self.started_at = 0
        # Last start of the host's agent, which loses the draining state until
        # the next heartbeat.
        self.agent_started_at = 0
        self.listener = None
        # Whether it closes its listener while it drains.
        self.closes_listener = False

    async def start(self):
        """Start without flows, under a new id or under the previous id with a
        later incarnation."""
        if not self.id or random.random() < 0.5:
            self.id = f"i-{next(self.id_counter)}"
        self.incarnation = max(self.incarnation + 1, int(time.time() * 1000))
        self.flows = {}
        self.state = "ready"
        self.drained_at = None
        # Numbers begin with 0, 1 or 2.
        self.sequence = self.starts % 3
        self.starts += 1
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address)
        self.task = asyncio.create_task(self.send_heartbeats())
        if self.closes_listener:
            await asyncio.sleep(LISTEN_DELAY_S)
        if not self.transport.is_closing():
            self.listener = await asyncio.start_server(self.serve_health,
                                                       *self.address)

    async def serve_health(self, reader, writer):
        """Answer a health check: 200 unless the endpoint drains."""
        try:
            await reader.readline()
            status = "200 OK" if self.state == "ready" else "503 Draining"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n".encode())
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def close_listener(self):
        """Refuse connections from now on."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def drain(self):
        """Drain from the next heartbeat on."""
        self.state = "draining"
        if self.closes_listener:
            self.close_listener()

    def crash(self):
        """Stop without deregistering."""
        self.task.cancel()
        self.transport.close()
        self.close_listener()

    async def call(self, method, body):
        """Call the agent's instance API; whether it answered 200."""
        raw = body.encode()
        head = (f"{method} /instances/{self.id} HTTP/1.1\r\nHost: agent\r\n"
                f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n")
        try:
            reader, writer = await asyncio.open_connection(*self.heartbeats)
            writer.write(head.encode() + raw)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def heartbeat(self, number, state):
        """Body of a heartbeat."""
        ip, port = self.address
        return {"service": self.service, "address": f"{ip}:{port}",
                "zone": DATA_CENTRE, "version": "v1", "slots": SLOTS,
                "state": state, "warmupLeftMs": 0, "sequence": number,
                "born": self.incarnation}

    async def send_heartbeats(self):
        """Send heartbeats until the transport closes. wait_for() may lose a
        cancellation that coincides with the response."""
        while not self.transport.is_closing():
            number = self.sequence
            self.sequence += 1
            state = self.state
            known = await self.call("PUT", json.dumps(
                self.heartbeat(number, state)))
            if known and state == "draining" and self.drained_at is None:
                self.drained_at = asyncio.get_running_loop().time()
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self):
        """Deregister from the agent and stop."""
        await self.call("DELETE", f'{{"born":{self.incarnation}}}')
        self.crash()

    def send(self, packet):
        """Send a packet to the agent."""
        if not self.transport.is_closing():
            self.transport.sendto(packet.encode(), self.outbound)

    def datagram_received(self, data, addr):
        packet = pk.decode(data)
        if packet is None or not packet.valid:
            self.record["garbled"] += 1
            return
        flow = (packet.src, packet.dst)
        if packet.flags & pk.SYN:
            self.check_draining(flow, packet)
            self.flows.setdefault(flow, Flow(random.getrandbits(32)))
            self.send(pk.Packet(packet.dst, packet.src, pk.SYN | pk.ACK,
                                self.flows[flow].seq, packet.seq + 1))
        elif flow not in self.flows:
            self.refuse(packet)
        elif packet.ack - self.flows[flow].seq & 0xffffffff > ACK_OFFSET_MAX:
            # Acknowledges another endpoint's SYN+ACK: dropped.
            return
        elif packet.data:
            self.receive_data(flow, packet)
        elif packet.flags & pk.FIN:
            self.flows.pop(flow, None)

    def check_draining(self, flow, packet):
        """Count and describe a new flow that arrives long after this endpoint
        reported that it drains."""
        arrived = self.loop_watch.arrived_after()
        since = max(self.drained_at or arrived, self.agent_started_at)
        if flow in self.flows or arrived <= since + DRAIN_GRACE_S:
            return
        self.record["drained"] = self.record.get("drained", 0) + 1
        print(f"drained {time.time():.3f} caller={flow[0]} "
              f"endpoint={self.address[0]} copies={packet.ack} "
              f"since_drain={arrived - (self.drained_at or arrived):.3f} "
              f"since_agent_start={arrived - self.agent_started_at:.3f}",
              flush=True)

    def receive_data(self, flow, packet):
        """Start the flow's next request, or repeat the last answer."""
        state = self.flows[flow]
        state.acked = packet.ack
        if packet.seq == state.received and not state.running:
            state.received += len(packet.data)
            state.running = True
            self.record["ran"][packet.data] = \
                self.record["ran"].get(packet.data, 0) + 1
            asyncio.ensure_future(self.work(flow, state, packet))
        elif state.answer is not None and not state.running:
            self.send(state.answer)

    def refuse(self, packet):
        """Bounce a packet of an unknown flow, but reset data after a start."""
        age = asyncio.get_running_loop().time() - self.started_at
        if packet.data and age < STARTUP_RESET_S:
            self.send(pk.Packet(packet.dst, packet.src, pk.RST | pk.ACK,
                                packet.ack, packet.seq))
            return
        packet.flags |= pk.BOUNCED
        self.send(packet)

    async def work(self, flow, state, packet):
        """Run a request and answer it. A draining endpoint closes the flow
        with the answer."""
        async with self.slots:
            await asyncio.sleep(WORK_S)
        answer = self.service.encode() + b":" + packet.data
        end = pk.FIN if self.state == "draining" else 0
        state.running = False
        state.answer = pk.Packet(packet.dst, packet.src, pk.ACK | end,
                                 state.sent, state.received, answer)
        state.sent = state.sent + len(answer) & 0xffffffff
        for _ in range(ANSWERS_MAX):
            if self.flows.get(flow) is not state or state.running or \
                    state.acked == state.sent:
                return
            self.send(state.answer)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
