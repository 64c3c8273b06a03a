"""Foreign input: reports, goodbyes and objects that no endpoint or agent sends.

None of it may change what an agent or a balancer believes.
"""

import asyncio
import json

from scripts.relaybed.endpoint import DATA_CENTRE

# Pauses between two messages.
PAUSE_S = (0.05, 0.4)
TIMEOUT_S = 1
AGENTS_KIND = "swiftarch-agents"
WRONG_VALUES = (None, True, -1, 1.5, "", [], {})
UNREADABLE = (b"", b"{", b"7", b"null", b"[]", b"\xff", b"{}x")
GOODBYES = (b"{", b"7", b"null", b"[]", b"\xff", b"{}x", b'{"born":null}',
            b'{"born":"7"}', b'{"born":1.5}')


class ForeignInput:
    """Writes to the agents and the store of a fixture."""

    def __init__(self, fixture, rand, record):
        self.fixture = fixture
        self.rand = rand
        self.record = record
        self.writes = (self.report, self.report, self.leave, self.put_object)

    async def run(self):
        """Write until cancelled."""
        while True:
            await asyncio.sleep(self.rand.uniform(*PAUSE_S))
            endpoint = self.rand.choice(self.fixture.endpoints)
            await self.rand.choice(self.writes)(endpoint)

    def draw_id(self, endpoint):
        """The endpoint's id or another."""
        return self.rand.choice((endpoint.id, endpoint.id, "i-other", "i-0"))

    def draw_report(self, endpoint):
        """Body of a report that isn't an endpoint's."""
        if self.rand.random() < 0.2:
            return self.rand.choice(UNREADABLE)
        body = endpoint.heartbeat(endpoint.sequence + self.rand.randint(0, 50),
                                  self.rand.choice(("ready", "draining")))
        body["born"] += self.rand.choice((-1, 0, 0, 1000))
        name = self.rand.choice([name for name in body if name != "born"])
        how = self.rand.randrange(5)
        if how == 0:
            del body[name]
        elif how == 1:
            body[name] = self.rand.choice(WRONG_VALUES)
            if name in ("sequence", "warmupLeftMs", "slots"):
                body[name] = "3"
        elif how == 2:
            body["state"] = "asleep"
        elif how == 3:
            body["service"] = "unnamed"
        else:
            body["address"] = "127.255.0.9:1"
        return json.dumps(body).encode()

    async def call(self, endpoint, method, body):
        """Call the endpoint's agent; the status, or None without an answer."""
        head = (f"{method} /instances/{self.draw_id(endpoint)} HTTP/1.1\r\n"
                f"Host: agent\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n").encode()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*endpoint.heartbeats), TIMEOUT_S)
            writer.write(head + body)
            line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None

    def count(self, status):
        """Count a message, and one that was taken for an endpoint's."""
        self.record["foreign"] += status is not None
        self.record["believed"] += status == 200

    async def report(self, endpoint):
        """Send a report."""
        self.count(await self.call(endpoint, "PUT",
                                   self.draw_report(endpoint)))

    async def leave(self, endpoint):
        """Send a goodbye."""
        self.count(await self.call(endpoint, "DELETE",
                                   self.rand.choice(GOODBYES)))

    def object_name(self, endpoint):
        """Name of the object of the endpoint's agent."""
        return f"{endpoint.address[0]}.{self.fixture.packets}" \
            .replace(".", "-")

    def count_replaced(self):
        """Agents whose object isn't their own."""
        replaced = 0
        for endpoint in self.fixture.endpoints:
            name = self.object_name(endpoint)
            held = self.fixture.store.get(AGENTS_KIND, name)
            replaced += held is not None and held["spec"] != {
                "address": f"{endpoint.address[0]}:{self.fixture.packets}",
                "service": endpoint.service, "data_centre": DATA_CENTRE}
        return replaced

    async def put_object(self, endpoint):
        """Replace the object of the endpoint's agent."""
        name = self.object_name(endpoint)
        held = self.fixture.store.get(AGENTS_KIND, name)
        if held is None or not isinstance(held["spec"], dict):
            return
        value = dict(held["spec"])
        field = self.rand.choice(("address", "service", "data_centre"))
        how = self.rand.randrange(4)
        if how == 0:
            value.pop(field, None)
        elif how == 1:
            value[field] = self.rand.choice(WRONG_VALUES)
        elif how == 2:
            value["service"] = "unnamed"
        else:
            value = self.rand.choice((None, 7, "x", []))
        self.fixture.store.put(AGENTS_KIND, name, value)
        self.record["foreign"] += 1
