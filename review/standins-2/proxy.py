"""A TCP proxy on a loopback address that can reset the connections through it."""

import asyncio
import socket
import struct


class Proxy:
    """Forwards each connection to one address."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    async def pipe(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, asyncio.CancelledError):
            pass

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pipe(reader, far_writer), self.pipe(far_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.pairs.discard(pair)
            for end in pair:
                end.close()

    def reset(self, of=lambda port: True):
        """Resets connections towards both ends; `of` selects them by the caller's port."""
        pairs = [pair for pair in self.pairs if of(pair[0].get_extra_info("peername")[1])]
        for end in (end for pair in pairs for end in pair):
            linger = struct.pack("ii", 1, 0)
            end.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            end.transport.abort()
        return len(pairs)
