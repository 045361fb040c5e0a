"""HTTP client of the weight store against the emulated store."""

import unittest

from drumbay.clock import SystemClock
from drumbay.identifiers import WeightVersion
from drumbay.standins.weight_store_model import WeightStoreModel
from drumbay.standins.weight_store_server import WeightStoreServer
from drumbay.weights.http_store import HttpWeightStoreClient
from drumbay.weights.store_interface import WeightStoreUnavailableError

MODEL = "advies"


class HttpWeightStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.store = WeightStoreModel(clock, "weight-store")
        self.server = WeightStoreServer(self.store, clock, host="127.0.0.1", port=0)
        self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = HttpWeightStoreClient(self.server.base_url)

    async def test_published_versions_are_read_over_http(self) -> None:
        for version in (1, 2):
            self.store.publish(MODEL, WeightVersion(version))
        self.assertEqual(await self.client.versions(MODEL), (WeightVersion(1), WeightVersion(2)))

    async def test_stopped_store_is_reported_as_unavailable(self) -> None:
        await self.server.stop()
        with self.assertRaises(WeightStoreUnavailableError):
            await self.client.versions(MODEL)
