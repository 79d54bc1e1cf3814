"""Small HTTP/1.1 client and server helpers for the stand-ins."""

import asyncio
import json
import re


async def read_head(reader):
    """The first line and the headers; `None` at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        text = (await reader.readline()).decode().strip()
        if not text:
            return line.decode().strip(), headers
        name, value = text.split(":", 1)
        headers[name.lower()] = value.strip()


async def read_body(reader, headers):
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def encode(first_line, body, headers=()):
    lines = [first_line, "Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, port, method, path, body=None, headers=(), timeout=2.0, host=None):
    """One request on a connection of its own: its status, headers and body."""
    data = b"" if body is None else json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            fields = [("Host", host or f"{address}:{port}"), *headers]
            writer.write(encode(f"{method} {path} HTTP/1.1", data, fields))
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def call_following(address, port, method, path, body=None):
    """Like `call`, but follows 307 twice, as callers of `control` do."""
    for _ in range(3):
        status, headers, answer = await call(address, port, method, path, body, timeout=1.0)
        if status != 307:
            break
        found = re.match(r"http://([\d.]+):(\d+)(/.*)", headers["location"])
        address, port, path = found[1], int(found[2]), found[3]
    return status, answer
