"""When the fixture's event loop last ran: it may stand still under load."""

import asyncio

TICK_S = 0.01


class LoopWatch:
    """Ticks with the event loop."""

    def __init__(self):
        self.ticks = (0, 0)
        self.task = None

    def start(self):
        """Start ticking, within a running loop."""
        now = asyncio.get_running_loop().time()
        self.ticks = (now, now)
        self.task = asyncio.create_task(self.run())

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.ticks = (self.ticks[1], asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_S)

    def arrived_after(self):
        """A datagram read now arrived after this time: an earlier one would
        have been read before the last tick."""
        return self.ticks[0]

    def stop(self):
        """Stop ticking."""
        self.task.cancel()
