"""Compiled selectors have the semantics of Kubernetes label selectors."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.resources.schema import (
    Backend,
    BackendGroup,
    BackendKind,
    Selector,
    SelectorExpression,
    SelectorOperator,
)
from drumbay.routing.selectors import InvalidSelectorError, compile_selector, labels_of

KEYS = st.sampled_from(["tier", "pool", "drumbay.io/zone"])
VALUES = st.sampled_from(["a", "b", "c"])
LABELS = st.dictionaries(KEYS, VALUES)


@st.composite
def expressions(draw: st.DrawFn) -> SelectorExpression:
    operator = draw(st.sampled_from(list(SelectorOperator)))
    takes_values = operator in (SelectorOperator.IN, SelectorOperator.NOT_IN)
    values = draw(st.lists(VALUES, min_size=1, max_size=3)) if takes_values else []
    return SelectorExpression(key=draw(KEYS), operator=operator, values=tuple(values))


def reference_holds(expression: SelectorExpression, labels: dict[str, str]) -> bool:
    present = expression.key in labels
    is_listed = present and labels[expression.key] in expression.values
    return {
        SelectorOperator.IN: is_listed,
        SelectorOperator.NOT_IN: not is_listed,
        SelectorOperator.EXISTS: present,
        SelectorOperator.DOES_NOT_EXIST: not present,
    }[expression.operator]


class SelectorTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(LABELS, st.lists(expressions(), max_size=3), LABELS)
    def test_agrees_with_the_definition(
        self,
        match_labels: dict[str, str],
        requirements: list[SelectorExpression],
        labels: dict[str, str],
    ) -> None:
        selector = Selector(match_labels=match_labels, match_expressions=tuple(requirements))
        expected = all(labels.get(key) == value for key, value in match_labels.items())
        expected = expected and all(reference_holds(entry, labels) for entry in requirements)
        self.assertEqual(compile_selector(selector)(labels), expected)

    def test_rejects_missing_or_unexpected_values(self) -> None:
        invalid_expressions = [
            SelectorExpression(key="a", operator=SelectorOperator.IN),
            SelectorExpression(key="a", operator=SelectorOperator.EXISTS, values=("b",)),
        ]
        for expression in invalid_expressions:
            with self.assertRaises(InvalidSelectorError):
                compile_selector(Selector(match_expressions=(expression,)))

    def test_labels_of_a_backend(self) -> None:
        backend = Backend(
            id="e1", url="http://127.0.0.1:1", zone="north", labels={"tier": "own", "x": "y"}
        )
        group = BackendGroup(
            name="g",
            backend_kind=BackendKind.ENGINE,
            backends=(backend,),
            labels={"tier": "group", "pool": "p", "drumbay.io/zone": "contradiction"},
            model="m",
        )
        self.assertEqual(
            labels_of(group, backend),
            {
                "tier": "own",
                "x": "y",
                "pool": "p",
                "drumbay.io/zone": "north",
                "drumbay.io/group": "g",
                "drumbay.io/backend": "e1",
                "drumbay.io/kind": "engine",
                "drumbay.io/model": "m",
            },
        )
