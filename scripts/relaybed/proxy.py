"""A TCP proxy in front of the store that delays, resets or drops data."""

import asyncio

MODES = ("pass", "delay", "reset", "refuse", "silent", "one-way")
DELAY_S = 0.3


class Proxy:
    """One listener; its mode decides what happens to its connections.

    A direction whose data was dropped once stays silent after the mode changes,
    as bytes are missing from its stream.
    """

    def __init__(self, port):
        self.port = port
        self.mode = "pass"
        self.listener = None
        self.tasks = set()
        self.writers = set()

    async def start(self):
        """Listen on an ephemeral port; returns the port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.listener.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        """Change the mode; "reset" aborts all open connections."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Relay one connection until either side closes it."""
        if self.mode in ("refuse", "reset"):
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, upstream[1]}
        self.writers |= ends
        tasks = [
            asyncio.create_task(self.copy(reader, upstream[1], "requests")),
            asyncio.create_task(self.copy(upstream[0], writer, "responses"))]
        self.tasks |= set(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The run has ended.
            pass
        finally:
            for task in tasks:
                task.cancel()
            for end in ends:
                end.close()
            self.writers -= ends
            self.tasks -= set(tasks)

    async def copy(self, reader, writer, direction):
        """Relay one direction of a connection."""
        silenced = False
        try:
            while data := await reader.read(65536):
                silenced |= self.mode == "silent" or (
                    self.mode == "one-way" and direction == "responses")
                if silenced:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def close(self):
        """Stop listening and close all connections."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()
