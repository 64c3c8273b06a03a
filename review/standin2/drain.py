"""Parts of the cases about DRAIN: callers, and the rule's check."""

import asyncio
import itertools

from review.standin2.caller import Caller

RATE_PER_S = 40


class Load:
    """Callers that open a flow for each request."""

    def __init__(self, bed, hosts, route, rate=RATE_PER_S):
        self.callers = [Caller(bed, host) for host in hosts]
        self.route = route
        self.rate = rate
        self.sent = self.answered = 0
        self.task = None
        self.requests = set()

    async def start(self):
        """Begin to send."""
        for caller in self.callers:
            await caller.start()
        self.task = asyncio.create_task(self.send())

    async def send(self):
        """Send requests at an even rate."""
        for caller in itertools.cycle(self.callers):
            self.sent += 1
            task = asyncio.create_task(self.one(caller, self.sent))
            self.requests.add(task)
            task.add_done_callback(self.requests.discard)
            await asyncio.sleep(1 / self.rate)

    async def one(self, caller, number):
        """Send one request."""
        answered = await caller.once(self.route, b"request %d" % number)
        self.answered += answered

    async def stop(self):
        """Stop to send, and wait for what is on its way."""
        self.task.cancel()
        await asyncio.gather(*self.requests, return_exceptions=True)


def count_after_drain(endpoint, drain_s, note):
    """New flows that reached an endpoint later than @drain_s after its
    draining was acknowledged."""
    if endpoint.drain_acked_at is None:
        return None
    late = [at - endpoint.drain_acked_at for at, _ in endpoint.accepted
            if at > endpoint.drain_acked_at + drain_s]
    for after in late:
        note(f"DRAIN: a flow's opening packet reached {endpoint.id} "
             f"{after:.3f} s after its draining was acknowledged")
    return len(late)
