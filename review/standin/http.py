"""A small HTTP/1.1 server and client."""

import asyncio
import json


async def read_message(reader):
    """Read one message; returns (first line's words, headers, body) or None."""
    try:
        line = await reader.readline()
        if not line:
            return None
        headers = {}
        while True:
            text = (await reader.readline()).decode().strip()
            if not text:
                break
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size) if size else b""
        return line.decode().split(), headers, body
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None


def response(status, body=None):
    """Bytes of a response with a JSON body."""
    raw = json.dumps(body if body is not None else {}).encode()
    return (f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n").encode() + raw


def request(method, path, body=None, host="node"):
    """Bytes of a request with a JSON body."""
    raw = json.dumps(body).encode() if body is not None else b""
    return (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n").encode() + raw


async def call(address, method, path, body=None, timeout=1.0):
    """Call a server on a new connection; returns the status, 0 for none."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request(method, path, body))
            message = await read_message(reader)
            return int(message[0][1]) if message else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
