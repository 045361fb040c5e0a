"""Contract tests of the etcd gateway client against the emulated server."""

import asyncio
import json
import random
import unittest

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from drumbay.kv.etcd_gateway import EtcdGatewayStore, make_gateway_error
from drumbay.kv.interface import (
    KeyValueOutcomeUnknownError,
    KeyValueRateLimitedError,
    KeyValueStore,
    KeyValueUnavailableError,
    Put,
)
from drumbay.standins.kv_model import FIRST_LEASE_ID, KeyValueModel
from drumbay.standins.kv_server import LogPage, make_application
from tests.kv_contract import RESPONSE_TIMEOUT_SECONDS, AdvancingClock, KeyValueContract


class EmulatedGateway:
    """Emulated etcd gateway on a free loopback port."""

    def __init__(self, model: KeyValueModel) -> None:
        socket, port = bind_unused_port()
        self.url = f"http://127.0.0.1:{port}"
        self.server = HTTPServer(make_application(model))
        self.server.add_socket(socket)

    async def close(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()


class EtcdGatewayStoreTest(KeyValueContract):
    async def make_store(self) -> KeyValueStore:
        gateway = EmulatedGateway(self.model)
        self.addAsyncCleanup(gateway.close)
        return EtcdGatewayStore(
            (gateway.url,), self.clock, timeout_seconds=RESPONSE_TIMEOUT_SECONDS
        )


class GatewayProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = AdvancingClock()
        self.model = KeyValueModel(self.clock, generator=random.Random(1))
        self.gateway = EmulatedGateway(self.model)
        self.addAsyncCleanup(self.gateway.close)

    async def post(self, path: str, body: str) -> tuple[int, bytes]:
        client = AsyncHTTPClient()
        url = self.gateway.url + path
        response = await client.fetch(url, method="POST", body=body, raise_error=False)
        return response.code, response.body

    async def test_published_examples(self) -> None:
        code, _ = await self.post("/v3/kv/put", '{"key": "Zm9v", "value": "YmFy"}')
        self.assertEqual(code, 200)
        _, body = await self.post("/v3/kv/range", '{"key": "Zm9v", "range_end": "Zm9w"}')
        self.assertEqual(
            json.loads(body),
            {
                "header": {"revision": "2"},
                "kvs": [
                    {
                        "key": "Zm9v",
                        "create_revision": "2",
                        "mod_revision": "2",
                        "version": "1",
                        "value": "YmFy",
                    }
                ],
                "count": "1",
            },
        )
        transaction = (
            '{"compare":[{"modRevision":"2","target":"MOD","key":"Zm9v"}],'
            '"success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]}'
        )
        _, body = await self.post("/v3/kv/txn", transaction)
        self.assertEqual(json.loads(body), {"header": {"revision": "3"}, "succeeded": True})
        lease = {"header": {"revision": "3"}, "ID": str(FIRST_LEASE_ID), "TTL": "7"}
        _, body = await self.post("/v3/lease/grant", '{"TTL": 7}')
        self.assertEqual(json.loads(body), lease)
        keep_alive = json.dumps({"ID": str(FIRST_LEASE_ID)})
        _, body = await self.post("/v3/kv/lease/keepalive", keep_alive)
        self.assertEqual(json.loads(body), {"result": lease})

    async def test_invalid_requests_are_rejected(self) -> None:
        for path, body in (
            ("/v3/kv/put", "{"),
            ("/v3/kv/range", '{"key": "Zm9v"}'),
            ("/v3/kv/txn", '{"success": [{}]}'),
            ("/v3/watch", "[]"),
            ("/faults", '{"unknown": true}'),
        ):
            code, _ = await self.post(path, body)
            self.assertEqual(code, 400, path)

    async def test_faults_and_log_over_http(self) -> None:
        store = EtcdGatewayStore((self.gateway.url,), self.clock)
        await store.transact((), (Put(key="/k", value=b""),))
        code, _ = await self.post("/faults", '{"outage": true}')
        self.assertEqual(code, 200)
        with self.assertRaises(KeyValueUnavailableError):
            await store.transact((), (Put(key="/k", value=b""),))
        response = await AsyncHTTPClient().fetch(self.gateway.url + "/log")
        page = msgspec.json.decode(response.body, type=LogPage)
        self.assertEqual(page, LogPage(next_position=1, entries=self.model.log))
        response = await AsyncHTTPClient().fetch(self.gateway.url + "/log?position=1")
        self.assertEqual(msgspec.json.decode(response.body, type=LogPage).entries, [])

    async def test_refused_connection_has_no_effect_and_the_next_member_is_used(self) -> None:
        closed_socket, closed_port = bind_unused_port()
        closed_socket.close()
        closed_url = f"http://127.0.0.1:{closed_port}"
        with self.assertRaises(KeyValueUnavailableError):
            await EtcdGatewayStore((closed_url,), self.clock).grant_lease(5.0)
        store = EtcdGatewayStore((closed_url, self.gateway.url), self.clock)
        await store.grant_lease(5.0)
        self.assertEqual(len(self.model.log), 1)

    async def test_closing_a_watch_closes_its_connection(self) -> None:
        store = EtcdGatewayStore((self.gateway.url,), self.clock)
        revision = (await store.transact((), (Put(key="/k", value=b""),))).revision
        for _ in range(20):
            watch = store.watch_prefix("/k", revision)
            await anext(watch)
            await watch.aclose()
        await asyncio.wait_for(self.wait_until_unwatched(), 10.0)

    async def wait_until_unwatched(self) -> None:
        while self.model.listener_count:  # noqa: ASYNC110 (the model has no event for it)
            await asyncio.sleep(0.01)


class GatewayErrorTest(unittest.TestCase):
    def test_only_definite_errors_count_as_no_effect(self) -> None:
        for status, body, expected in (
            (503, b'{"message":"etcdserver: no leader","code":14}', KeyValueUnavailableError),
            (
                503,
                b'{"message":"etcdserver: request timed out","code":14}',
                KeyValueOutcomeUnknownError,
            ),
            (502, b"<html>", KeyValueOutcomeUnknownError),
            (429, b'{"error":"etcdserver: too many requests"}', KeyValueRateLimitedError),
        ):
            self.assertIs(type(make_gateway_error(status, body)), expected)


# NOTE: the loader would otherwise run the contract without a store.
del KeyValueContract
