"""The part of the platform's store that relay mode uses, on a thread."""

import collections
import http.server
import json
import sys
import threading
import time
import urllib.parse


# Lag of stale reads, longer than agents take to notify each other.
STALE_S = 1.0


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        self.unavailable = False
        self.calls = 0
        self.calls_by_kind = collections.Counter()
        self.epoch = 1

    def put(self, kind, name, value):
        """Create or replace an object; returns it."""
        with self.changed:
            old = self.objects.setdefault(kind, {}).get(name)
            if old is not None and old["spec"] == value:
                return old
            self.revision += 1
            item = {"meta": {"name": name, "rev": self.revision},
                    "spec": value, "status": None}
            self.objects[kind][name] = item
            self.history.append(
                (self.revision, kind, item, False, time.monotonic()))
            self.changed.notify_all()
            return item

    def restore(self, age_s):
        """Restore the state of age_s ago in a new epoch: later writes are lost,
        and their revisions are assigned again."""
        with self.changed:
            end = time.monotonic() - age_s
            self.history = [entry for entry in self.history
                            if entry[4] <= end]
            self.objects = {}
            for _, kind, item, removed, _ in self.history:
                named = self.objects.setdefault(kind, {})
                named.pop(item["meta"]["name"], None)
                if not removed:
                    named[item["meta"]["name"]] = item
            self.revision = max([1] + [entry[0] for entry in self.history])
            self.epoch += 1
            self.changed.notify_all()

    def remove(self, kind, name):
        """Remove an object; whether it existed."""
        with self.changed:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is not None:
                self.revision += 1
                self.history.append(
                    (self.revision, kind, item, True, time.monotonic()))
                self.changed.notify_all()
            return item is not None

    def watch(self, kind, since, wait_s, age_s=0.0):
        """Events of a kind after a revision and at least age_s old; waits up
        to wait_s for the first. None for a revision that the store lacks, or
        when the epoch changes."""
        end = time.monotonic() + wait_s
        with self.changed:
            epoch = self.epoch
            while True:
                if self.epoch != epoch or since > self.revision:
                    return None
                now = time.monotonic()
                seen = [entry for entry in self.history
                        if entry[0] > since and entry[4] <= now - age_s]
                events = [{"deleted": entry[3], "object": entry[2]}
                          for entry in seen if entry[1] == kind]
                if events or self.unavailable or now >= end:
                    break
                self.changed.wait(min(end - now, age_s or end - now))
            if age_s == 0.0:
                return {"events": events, "at": self.revision}
            return {"events": events,
                    "at": max([since] + [entry[0] for entry in seen])}

    def get(self, kind, name):
        """One object, or None."""
        with self.changed:
            return self.objects.get(kind, {}).get(name)


class Handler(http.server.BaseHTTPRequestHandler):
    """HTTP handler of the object API."""

    protocol_version = "HTTP/1.1"
    store = None

    def log_message(self, *args):
        """Log nothing; the relay processes log their calls."""

    def send_json(self, status, body):
        """Send a JSON response."""
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(raw)))
        self.send_header("Store-Era", str(self.store.epoch))
        self.end_headers()
        try:
            self.wfile.write(raw)
        except (BrokenPipeError, ConnectionResetError):
            # The client was killed before the response.
            self.close_connection = True

    def parse_call(self):
        """Kind, name or None, and query of a request; sends 503 and returns
        None when the store is unavailable."""
        self.store.calls += 1
        size = int(self.headers.get("Content-Length", 0))
        self.body = json.loads(self.rfile.read(size)) if size else None
        if self.store.unavailable:
            self.send_json(503, {})
            return None
        url = urllib.parse.urlsplit(self.path)
        names = url.path.split("/")[2:] + [None]
        self.store.calls_by_kind[names[0]] += 1
        return names[0], names[1], dict(urllib.parse.parse_qsl(url.query))

    def do_GET(self):  # pylint: disable=invalid-name
        """List, watch or get."""
        found = self.parse_call()
        if found is None:
            return
        kind, name, query = found
        if "watch" in query:
            age_s = STALE_S if query.get("staleOk") == "1" else 0.0
            seen = self.store.watch(
                kind, int(query["watch"]), int(query["waitMs"]) / 1000, age_s)
            self.send_json(410 if seen is None else 200, seen or {})
            return
        if name is not None:
            item = self.store.get(kind, name)
            self.send_json(404 if item is None else 200, item or {})
            return
        items = list(self.store.objects.get(kind, {}).values())
        self.send_json(200, {"items": items, "hasMore": False,
                          "at": self.store.revision})

    def is_conflict(self, found):
        """Whether a write's condition on the revision fails; answers 409."""
        item = self.store.get(found[0], found[1])
        if item is None or "rev" not in found[2] or \
                int(found[2]["rev"]) == item["meta"]["rev"]:
            return False
        self.send_json(409, item)
        return True

    def do_PUT(self):  # pylint: disable=invalid-name
        """Replace an object."""
        found = self.parse_call()
        if found is None:
            return
        if found[1] not in self.store.objects.get(found[0], {}):
            self.send_json(404, {})
            return
        if self.is_conflict(found):
            return
        self.send_json(200, self.store.put(found[0], found[1],
                                        self.body["spec"]))

    def do_POST(self):  # pylint: disable=invalid-name
        """Create an object."""
        found = self.parse_call()
        if found is None:
            return
        name = self.body["meta"]["name"]
        if name in self.store.objects.get(found[0], {}):
            self.send_json(409, {})
            return
        self.send_json(200, self.store.put(found[0], name, self.body["spec"]))

    def do_DELETE(self):  # pylint: disable=invalid-name
        """Remove an object."""
        found = self.parse_call()
        if found is not None and not self.is_conflict(found):
            gone = self.store.remove(found[0], found[1])
            self.send_json(200 if gone else 404, {})


class Server(http.server.ThreadingHTTPServer):
    """The store's server; clients that are killed are no errors."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def serve(address):
    """Serve a new store at (ip, port), port 0 for any; returns the store and
    its port."""
    store = Store()
    handler = type("Bound", (Handler,), {"store": store})
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return store, server.server_address[1]
