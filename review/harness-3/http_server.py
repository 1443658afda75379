"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
import socket
import struct


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(
            part.partition("=")[::2] for part in query.split("&") if part
        )
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def read_message(reader):
    """Return the first line, the headers and the body of a message.

    Returns ``None`` if the connection is closed before it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = await _read_chunks(reader)
        else:
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def _read_chunks(reader):
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def render(status, content):
    """Return an encoded response."""
    if not isinstance(content, bytes):
        content = json.dumps(content).encode()
    head = (
        f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
        f"content-length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


class Server:
    """A server and its open connections."""

    def __init__(self):
        self.writers = set()
        self.listener = None

    def close(self):
        """Stop listening and break all connections."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def serve(host, port, handle):
    """Serve a handler that returns a status and a content.

    A handler that returns ``None`` leaves the call unanswered.
    """
    server = Server()

    async def connected(reader, writer):
        server.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600.0)
                    return
                writer.write(render(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            server.writers.discard(writer)
            writer.close()

    server.listener = await asyncio.start_server(
        connected, host, port, backlog=512
    )
    return server


async def call(
    host,
    port,
    method,
    path,
    fields=None,
    headers=(),
    timeout_s=5,
    is_silent=None,
):
    """Make one call on a connection of its own.

    :param is_silent: an event that is set once the caller's keep-alive probes
        are not answered any more; the connection is then reset
    :return: status and body
    :raises OSError: if there is no connection, or no whole response
    :raises TimeoutError: if it takes too long
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        if is_silent is not None:
            probes = asyncio.create_task(reset_if_silent(writer))
        try:
            body = b"" if fields is None else json.dumps(fields).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            given = dict(headers)
            given.setdefault("host", f"{host}:{port}")
            given.setdefault("content-type", "application/json")
            given["content-length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionResetError("closed without an answer")
            line, _, content = message
            return int(line.split(" ")[1]), content
        finally:
            if is_silent is not None:
                probes.cancel()
            writer.close()

    async def reset_if_silent(writer):
        await is_silent.wait()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout_s)
