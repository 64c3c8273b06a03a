"""The platform's store, as SYSTEM.md and PROTOCOL.md describe it.

Each machine calls it at an address of its own, so that the store can turn
some machines away and serve the others and the operator.
"""

import asyncio
import collections
import json
import time
import urllib.parse

from review.standin import http

ANSWER_S = 0.004


class Channel:
    """A connection of a machine; silent after a response on it was lost."""

    def __init__(self, writer):
        self.writer = writer
        self.lost = False

    def send(self, raw):
        """Send a response."""
        if not self.writer.is_closing():
            self.writer.write(raw)


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self, stale_s=0.0):
        self.stale_s = stale_s
        self.revision = 1
        self.objects = collections.defaultdict(dict)
        self.history = []
        self.changed = asyncio.Condition()
        self.silent = set()
        self.servers = []
        self.lost = 0
        self.open_watches = {}

    async def serve(self, machine, address):
        """Serve a machine at an address."""
        async def on_connection(reader, writer):
            try:
                await self.serve_channel(machine, reader, Channel(writer))
            except asyncio.CancelledError:
                # The run ends.
                writer.close()
        self.servers.append(await asyncio.start_server(on_connection,
                                                       *address))

    def close(self):
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def serve_channel(self, machine, reader, channel):
        """Answer the calls on a connection, one after the other."""
        while True:
            message = await http.read_message(reader)
            if message is None:
                break
            answer = asyncio.ensure_future(self.answer(machine, message))
            closed = asyncio.ensure_future(reader.read(1)) \
                if "watch=" in message[0][1] else None
            if closed is not None:
                await asyncio.wait((answer, closed),
                                   return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    answer.cancel()
                    break
            raw = await answer
            if machine in self.silent:
                # The store turns this machine away by silence. A channel on
                # which a response is lost returns nothing further.
                channel.lost = True
                self.lost += 1
            if not channel.lost:
                channel.send(raw)
            if closed is not None:
                closed.cancel()
                try:
                    if await closed == b"":
                        break
                except asyncio.CancelledError:
                    pass
        channel.writer.close()

    async def put(self, kind, name, spec):
        """Create or replace an object; returns it."""
        async with self.changed:
            old = self.objects[kind].get(name)
            if old is not None and old["spec"] == spec:
                return old
            self.revision += 1
            created = old["meta"]["createdRev"] if old else self.revision
            item = {"meta": {"name": name, "rev": self.revision,
                             "createdRev": created, "finalizers": [],
                             "deletionRequested": False},
                    "spec": spec, "status": {}}
            self.objects[kind][name] = item
            self.history.append(
                (self.revision, kind, item, False, time.monotonic()))
            self.changed.notify_all()
            return item

    async def remove(self, kind, name):
        """Remove an object; returns it or None."""
        async with self.changed:
            item = self.objects[kind].pop(name, None)
            if item is not None:
                self.revision += 1
                self.history.append(
                    (self.revision, kind, item, True, time.monotonic()))
                self.changed.notify_all()
            return item

    async def answer(self, machine, message):
        """The response to a call."""
        (method, target, _), _, body = message
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        words = url.path.split("/")[2:]
        kind, name = words[0], words[1] if len(words) > 1 else None
        if "watch" in query:
            return await self.watch(machine, kind, query)
        await asyncio.sleep(ANSWER_S)
        if method == "GET" and name is None:
            items = [item for key, item in sorted(self.objects[kind].items())
                     if key > query.get("after", "")]
            return http.response(200, {"items": items, "hasMore": False,
                                       "at": self.revision})
        spec = json.loads(body).get("spec") if body else None
        if method == "POST":
            name = json.loads(body)["meta"]["name"]
            if name in self.objects[kind]:
                return http.response(409, self.objects[kind][name])
            return http.response(201, await self.put(kind, name, spec))
        item = self.objects[kind].get(name)
        if item is None:
            return http.response(404)
        if method != "GET" and \
                int(query.get("rev", item["meta"]["rev"])) != \
                item["meta"]["rev"]:
            return http.response(409, item)
        if method == "PUT":
            item = await self.put(kind, name, spec)
        elif method == "DELETE":
            item = await self.remove(kind, name)
        return http.response(200, item)

    async def watch(self, machine, kind, query):
        """Events after a revision; waits for the first."""
        since = int(query["watch"])
        wait_s = int(query["waitMs"]) / 1000
        age_s = self.stale_s if query.get("staleOk") == "1" else 0.0
        end = time.monotonic() + wait_s
        self.open_watches[machine, kind] = (time.monotonic(), wait_s,
                                            age_s > 0)
        while True:
            now = time.monotonic()
            seen = [entry for entry in self.history
                    if entry[0] > since and entry[4] <= now - age_s]
            events = [{"deleted": entry[3], "object": entry[2]}
                      for entry in seen if entry[1] == kind]
            if events or now >= end:
                break
            try:
                async with asyncio.timeout(min(end - now, 0.05)):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(ANSWER_S)
        at = self.revision if age_s == 0 else \
            max([since] + [entry[0] for entry in seen])
        return http.response(200, {"events": events, "at": at})
