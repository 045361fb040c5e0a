"""The users' platform on loopback: its store over the key-value model, and a scripted worker."""

import asyncio
import base64
import json
import socket
import struct
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.testing import bind_unused_port

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    Delete,
    KeyValue,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
    WatchCompactedError,
)
from drumbay.standins.kv_model import KeyValueModel

PAGE_ITEMS = 5


def answer(request: HTTPServerRequest, status: int, body: bytes) -> None:
    """Send a whole answer."""
    connection = request.connection
    assert connection is not None
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    written = connection.write_headers(ResponseStartLine("HTTP/1.1", status, ""), headers, body)
    written.add_done_callback(lambda future: future.cancelled() or future.exception())
    connection.finish()


class PlatformStoreServer:
    """Serves the platform's calls of the store."""

    def __init__(self, model: KeyValueModel) -> None:
        listener, port = bind_unused_port()
        self.address = NetworkAddress("127.0.0.1", port)
        self.refuse_with: int | None = None
        self._model = model
        self._server = HTTPServer(self._accept)
        self._server.add_socket(listener)
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()

    def _accept(self, request: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: HTTPServerRequest) -> None:
        if self.refuse_with is not None:
            answer(request, self.refuse_with, b"{}")
            return
        parts = urlsplit(request.uri or "")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(request.body) if request.body else {}
        try:
            status, result = await self._call(parts.path, query, body)
        except WatchCompactedError:
            status, result = 410, {}
        except LeaseNotFoundError:
            status, result = 404, {}
        answer(request, status, json.dumps(result).encode())

    async def _call(
        self, path: str, query: dict[str, str], body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease = self._model.grant_lease(int(str(body["ttlMs"])) / 1000)
            return 200, {"lease": lease.lease_id, "ttlMs": int(lease.ttl_seconds * 1000)}
        name, _, lease_id = path.removeprefix("/").partition("/")
        if name == "kv-keep":
            seconds = self._model.keep_lease_alive(int(lease_id))
            return 200, {"ttlMs": int(seconds * 1000)}
        assert name == "kv-lease-end"
        self._model.revoke_lease(int(lease_id))
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        found = self._model.range_prefix(query["pathPrefix"])
        items = [item for item in found.items if item.key > query.get("sinceRev", "")]
        return {
            "requests": [_item(item) for item in items[:PAGE_ITEMS]],
            "hasMore": len(items) > PAGE_ITEMS,
            "at": found.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        start = Revision(int(query["sinceRev"]) + 1)
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            batch = self._model.read_changes(query["pathPrefix"], start)
            if batch.events or asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(0.01)
        events: list[dict[str, object]] = [
            {"tlsKey": event.key, "rev": event.mod_revision, "gone": True}
            if event.item is None
            else _item(event.item)
            for event in batch.events
        ]
        return {"events": events, "at": batch.revision}

    def _transact(self, body: dict[str, object]) -> tuple[int, dict[str, object]]:
        compares = body.get("expectRev", [])
        puts = body.get("put", [])
        removes = body.get("remove", [])
        assert isinstance(compares, list) and isinstance(puts, list) and isinstance(removes, list)
        outcome = self._model.transact(
            tuple(ModRevisionIs(key=c["tlsKey"], mod_revision=c["rev"]) for c in compares),
            (
                *(
                    Put(
                        key=p["tlsKey"],
                        value=base64.b64decode(p["value"]),
                        lease_id=p.get("lease", 0),
                    )
                    for p in puts
                ),
                *(Delete(key=key) for key in removes),
            ),
        )
        if not outcome.succeeded:
            return 412, {"requests": []}
        return 200, {"rev": outcome.revision}


def _item(item: KeyValue) -> dict[str, object]:
    return {
        "tlsKey": item.key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.mod_revision,
        "created": item.create_revision,
        "lease": item.lease_id,
    }


class ScriptedServer:
    """A TCP server that reads a request's head and writes whatever a script returns."""

    def __init__(self, script: Callable[[str], bytes], *, reset: bool = False) -> None:
        self._script = script
        self._reset = reset
        self._server: asyncio.Server | None = None
        self.requests: list[str] = []
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.keep = False
        self.address = NetworkAddress("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = NetworkAddress("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0)
        await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        while await self._answer(reader, writer) and self.keep:
            pass
        if self._reset:
            # With no time to linger, closing sends a reset in place of an end.
            plain = writer.get_extra_info("socket")
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        self.requests.append(head)
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                await reader.readexactly(int(line.split(":")[1]))
        writer.write(self._script(head))
        await writer.drain()
        return True
