"""The soak's checks see what they are for, also when its loop stands still."""

import asyncio
import socket
import sys
import time
import unittest

from scripts.relaybed import packet as pk
from scripts.relaybed.caller import Caller
from scripts.relaybed.endpoint import DRAIN_GRACE_S, Endpoint
from scripts.relaybed.loop_watch import LoopWatch

CALLER = (0x64400001, 1234)
SERVICE = (0xc6120001, 8443)


def syn():
    """The first SYN of a flow."""
    return pk.Packet(CALLER, SERVICE, pk.SYN, 100).encode()


def free_address():
    """An address with a free port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


class DrainCheck(unittest.IsolatedAsyncioTestCase):
    """New flows at an endpoint that drains."""

    async def asyncSetUp(self):
        self.watch = LoopWatch()
        self.watch.start()
        self.record = {"ran": {}}
        self.endpoint = Endpoint("lots", free_address(), free_address(),
                                 free_address(), self.record, self.watch)
        loop = asyncio.get_running_loop()
        self.endpoint.transport, _ = await loop.create_datagram_endpoint(
            lambda: self.endpoint, local_addr=self.endpoint.address)
        self.endpoint.drained_at = loop.time()

    async def asyncTearDown(self):
        self.endpoint.transport.close()
        self.watch.stop()

    async def test_a_late_flow_is_counted(self):
        """One that arrives after the second of grace."""
        await asyncio.sleep(1.02)
        self.endpoint.datagram_received(syn(), None)
        self.assertEqual(self.record["drained"], 1)

    async def test_a_flow_read_late_is_not_counted(self):
        """One that may have arrived before the loop stood still."""
        await asyncio.sleep(0.5)
        time.sleep(DRAIN_GRACE_S)
        self.endpoint.datagram_received(syn(), None)
        self.assertNotIn("drained", self.record)


class CutCheck(unittest.TestCase):
    """Resets of flows that an endpoint holds."""

    def test_a_reset_of_a_held_flow_is_counted(self):
        """Only with the initial sequence number that the endpoint has."""
        held = {((CALLER, SERVICE), 500): "127.0.0.1"}
        record = {"cut": 0}
        caller = Caller("127.0.0.1", CALLER[0], 1, {}, record,
                        lambda flow, seq: held.get((flow, seq)))
        reset = pk.Packet(SERVICE, CALLER, pk.RST, 501)
        caller.check_reset((CALLER, SERVICE), 500, reset)
        caller.check_reset((CALLER, SERVICE), 900, reset)
        self.assertEqual(record["cut"], 1)


if __name__ == "__main__":
    sys.exit(unittest.main())
