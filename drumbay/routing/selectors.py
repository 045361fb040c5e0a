"""Labels of backends, and label selectors compiled to predicates.

Selectors have the semantics of Kubernetes label selectors: all equality-based and set-based
requirements must hold. ``NotIn`` and ``DoesNotExist`` hold when the label is absent.
"""

from collections.abc import Callable, Mapping

from drumbay.exceptions import ConfigurationError
from drumbay.resources.schema import (
    Backend,
    BackendGroup,
    Selector,
    SelectorExpression,
    SelectorOperator,
)

ZONE_LABEL = "drumbay.io/zone"
GROUP_LABEL = "drumbay.io/group"
BACKEND_LABEL = "drumbay.io/backend"
KIND_LABEL = "drumbay.io/kind"
MODEL_LABEL = "drumbay.io/model"

Labels = Mapping[str, str]
LabelPredicate = Callable[[Labels], bool]

_OPERATORS_WITH_VALUES = (SelectorOperator.IN, SelectorOperator.NOT_IN)


class InvalidSelectorError(ConfigurationError):
    """A set-based requirement lacks values, or its operator does not accept values."""

    code = "invalid_selector"


def labels_of(group: BackendGroup, backend: Backend) -> dict[str, str]:
    """Return the labels of one backend.

    Labels of the backend override those of its group. The implied ``drumbay.io/`` labels
    override both, so that configured labels cannot contradict the actual zone, group or model.
    """
    labels = {**group.labels, **backend.labels}
    labels[ZONE_LABEL] = backend.zone
    labels[GROUP_LABEL] = group.name
    labels[BACKEND_LABEL] = backend.id
    labels[KIND_LABEL] = group.backend_kind.value
    labels.pop(MODEL_LABEL, None)
    if group.model is not None:
        labels[MODEL_LABEL] = group.model
    return labels


def compile_selector(selector: Selector) -> LabelPredicate:
    """Compile a selector to a predicate over the labels of a backend.

    Raises:
        InvalidSelectorError: ``In``/``NotIn`` without values, or
            ``Exists``/``DoesNotExist`` with values.
    """
    equalities = tuple(selector.match_labels.items())
    requirements = tuple(_compile_expression(item) for item in selector.match_expressions)
    if not requirements:
        return _compile_equalities(equalities)

    def predicate(labels: Labels) -> bool:
        for key, value in equalities:
            if labels.get(key) != value:
                return False
        for requirement in requirements:  # noqa: SIM110 - a generator is slower
            if not requirement(labels):
                return False
        return True

    return predicate


def _compile_equalities(equalities: tuple[tuple[str, str], ...]) -> LabelPredicate:
    if not equalities:
        return lambda labels: True
    if len(equalities) == 1:
        only_key, only_value = equalities[0]
        return lambda labels: labels.get(only_key) == only_value
    return lambda labels: all(labels.get(key) == value for key, value in equalities)


def _compile_expression(expression: SelectorExpression) -> LabelPredicate:
    key = expression.key
    operator = expression.operator
    needs_values = operator in _OPERATORS_WITH_VALUES
    if needs_values != bool(expression.values):
        expected = "at least one value" if needs_values else "no values"
        raise InvalidSelectorError(f"{operator.value} on label {key!r} takes {expected}")
    accepted = frozenset(expression.values)
    if operator is SelectorOperator.IN:
        return lambda labels: labels.get(key) in accepted
    if operator is SelectorOperator.NOT_IN:
        return lambda labels: labels.get(key) not in accepted
    if operator is SelectorOperator.EXISTS:
        return lambda labels: key in labels
    return lambda labels: key not in labels
