"""The platform's store: the project's stand-in, with the headers and replies
that the pages describe."""

import json
import threading

from scripts.relaybed import store as project


class Handler(project.Handler):
    """The object API; while the store is down it answers 503."""

    def send_json(self, status, body):
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        try:
            self.wfile.write(raw)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True


def serve(address):
    """Serve a new store at (ip, port), port 0 for any; returns the store and
    its port."""
    store = project.Store()
    handler = type("Bound", (Handler,), {"store": store})
    server = project.Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return store, server.server_address[1]
