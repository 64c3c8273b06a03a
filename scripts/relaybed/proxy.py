"""A TCP proxy before the store that delays, resets, cuts or goes silent."""

import asyncio

MODES = ("pass", "delay", "reset", "refuse", "silent", "one-way")
DELAY_S = 0.3


class Proxy:
    """One listener; what is said on its connections passes as @mode says.

    A connection that was silenced once stays silent, also when the store is
    back, as far as its ends can tell.
    """

    def __init__(self, port):
        self.port = port
        self.mode = "pass"
        self.listener = None
        self.tasks = set()
        self.writers = set()

    async def start(self):
        """Listen; the port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.listener.sockets[0].getsockname()[1]

    def set(self, mode):
        """Change the mode; resets what is open where that is the mode."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        """One connection, until either side ends it."""
        if self.mode in ("refuse", "reset"):
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, there[1]}
        self.writers |= ends
        tasks = [asyncio.create_task(self.copy(reader, there[1], "asks")),
                 asyncio.create_task(self.copy(there[0], writer, "answers"))]
        self.tasks |= set(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The play is over.
            pass
        finally:
            for task in tasks:
                task.cancel()
            for end in ends:
                end.close()
            self.writers -= ends
            self.tasks -= set(tasks)

    async def copy(self, reader, writer, what):
        """One direction."""
        silenced = False
        try:
            while data := await reader.read(65536):
                silenced |= self.mode == "silent" or (
                    self.mode == "one-way" and what == "answers")
                if silenced:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def end(self):
        """Stop listening, and all that is open."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()
