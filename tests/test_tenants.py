"""Tests of API keys, also on a node that may have missed a configuration."""

import json
import unittest

from drumbay_platform.feeds import parse_configuration

from drumbay.exceptions import Execution
from drumbay.forwarding.routes import RoutingConfiguration
from drumbay.tenants.access import KeysOutdatedError, UnknownKeyError, authenticate
from drumbay.tenants.records import KeyTable, Tenant, TenantName, digest_of

IN_FORCE_SECONDS = 3.0
KEYS = KeyTable.of(
    [
        Tenant(name=TenantName("north"), key_digests=(digest_of("k1"), digest_of("k2"))),
        Tenant(name=TenantName("south"), key_digests=(digest_of("k3"),)),
    ]
)


def tenant_for(
    key: str | None,
    *,
    keys: KeyTable | None = KEYS,
    needs_key: bool = True,
    age_seconds: float = 0.0,
) -> TenantName | None:
    return authenticate(
        keys,
        key,
        needs_key=needs_key,
        configuration_age_seconds=age_seconds,
        in_force_seconds=IN_FORCE_SECONDS,
    )


class AccessTest(unittest.TestCase):
    def test_key_identifies_its_tenant(self) -> None:
        self.assertEqual(
            [tenant_for(key) for key in ("k1", "k2", "k3")], ["north", "north", "south"]
        )

    def test_missing_or_unknown_key_is_rejected(self) -> None:
        for key in (None, "k4", ""):
            with self.assertRaises(UnknownKeyError):
                tenant_for(key)

    def test_no_key_is_needed_on_public_routes_or_without_tenants(self) -> None:
        self.assertIsNone(tenant_for(None, needs_key=False))
        self.assertIsNone(tenant_for(None, keys=None))
        self.assertIsNone(tenant_for("k1", needs_key=False))

    def test_outdated_node_asks_to_retry_unknown_key(self) -> None:
        with self.assertRaises(KeysOutdatedError) as caught:
            tenant_for("k4", age_seconds=IN_FORCE_SECONDS + 0.1)
        self.assertIs(caught.exception.execution, Execution.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_seconds)

    def test_outdated_node_accepts_known_key(self) -> None:
        self.assertEqual(tenant_for("k1", age_seconds=100.0), "north")

    def test_outdated_node_rejects_missing_key(self) -> None:
        with self.assertRaises(UnknownKeyError):
            tenant_for(None, age_seconds=100.0)


class ConfigurationTest(unittest.TestCase):
    def configuration(self, **fields: object) -> RoutingConfiguration:
        route = {"name": "r", "host": "h", "pathPrefix": "/p/", "kind": "rollout"}
        routes = [{**route, "name": f"r{number}", "public": True} for number in range(2)]
        return parse_configuration(json.dumps({"ver": 1, "routes": routes, **fields}).encode())

    def test_keys_are_stored_as_digests_only(self) -> None:
        tenants = [{"name": "north", "apiKeys": ["secret-1"], "prio": 1}]
        found = self.configuration(tenants=tenants)
        assert found.keys is not None
        self.assertEqual(found.keys.tenant_of("secret-1"), "north")
        self.assertNotIn("secret-1", repr(found))

    def test_configuration_without_tenants_needs_no_keys(self) -> None:
        self.assertIsNone(self.configuration().keys)
        empty = self.configuration(tenants=[])
        with self.assertRaises(UnknownKeyError):
            tenant_for("k1", keys=empty.keys)

    def test_batch_calls_need_key_unless_all_routes_are_public(self) -> None:
        public = self.configuration()
        self.assertFalse(public.batches_need_key("h"))
        self.assertTrue(public.batches_need_key("other"))


if __name__ == "__main__":
    unittest.main()
