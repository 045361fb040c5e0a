"""The engines of a policy are cached, and updated when groups or the policy change."""

import unittest
from unittest import mock

import msgspec

from drumbay.configuration.view import ConfigurationView
from drumbay.identifiers import StreamName
from drumbay.resources.schema import (
    Backend,
    BackendGroup,
    BackendKind,
    Selector,
    WeightPolicy,
)
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.policy_engines import PolicyEngines


def make_view(count: int) -> ConfigurationView:
    backends = tuple(
        Backend(id=f"e{n}", url=f"http://e{n}", zone=f"z{n % 2}") for n in range(count)
    )
    group = BackendGroup(name="g", backend_kind=BackendKind.ENGINE, model="m", backends=backends)
    return ConfigurationView(groups={"g": group})


class PolicyEnginesTest(unittest.TestCase):
    def test_cache_is_invalidated_by_group_and_policy_changes(self) -> None:
        directory = BackendDirectory()
        directory.apply_configuration(make_view(4), 0.0)
        engines = PolicyEngines(directory)
        policy = WeightPolicy(name="p", model="m", stream=StreamName("s"), selector=Selector())
        self.assertEqual(len(engines.engines_for(policy)), 4)
        with mock.patch.object(directory, "select") as select:
            self.assertEqual(len(engines.engines_for(policy)), 4)
            select.assert_not_called()
        directory.apply_configuration(make_view(6), 1.0)
        self.assertEqual(len(engines.engines_for(policy)), 6)
        narrow = Selector(match_labels={"drumbay.io/zone": "z1"})
        self.assertEqual(
            len(engines.engines_for(msgspec.structs.replace(policy, selector=narrow))), 3
        )
        views = directory.views_for(engines.engines_for(policy), 1.0)
        self.assertEqual([view.backend_id for view in views], [f"e{n}" for n in range(6)])
