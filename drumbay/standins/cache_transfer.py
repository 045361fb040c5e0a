"""Export and import of the keys and values of one completion between engines.

Keys and values belong to the weights that computed them. An engine refuses an import under
other weights, and it refuses to resume a completion from a cache that was imported before
its weights changed: the caller then resumes without the cache.
"""

from collections import OrderedDict

import msgspec
import xxhash

from drumbay.backends.interface import BackendError, BackendRefusedError, GenerationRequest
from drumbay.identifiers import AttemptId, WeightVersion
from drumbay.standins.engine_orders import LoadedWeights
from drumbay.standins.generation import Generation

VERSION_NOT_LOADED = "version_not_loaded"
CACHE_VERSION_MISMATCH = "cache_version_mismatch"
DEFAULT_CAPACITY_COMPLETIONS = 64
BYTES_PER_TOKEN = 131_072
"""Keys and values of one token in a model of about 8 billion parameters, 16 bits each."""


class CacheExport(msgspec.Struct, frozen=True, kw_only=True):
    """The exported cache of one completion, without its bulk data.

    Attributes:
        model: Model it belongs to.
        weight_version: Weights that computed it.
        content_hash: Hash of the prompt and of the tokens it covers.
        tokens: Tokens it covers, those of the prompt included.
        size_bytes: Size of the keys and values.
    """

    model: str
    weight_version: WeightVersion
    content_hash: str
    tokens: int
    size_bytes: int


class MixedVersionsError(BackendError):
    """A cache that several versions computed cannot be exported."""

    code = "mixed_versions"


class UnknownAttemptError(BackendError):
    """The engine does not hold the cache of an attempt."""

    code = "unknown_attempt"


def content_hash(model: str, prompt: str, tokens: tuple[int, ...]) -> str:
    """Return the hash of a prompt and the tokens that follow it."""
    return str(xxhash.xxh64_hexdigest(msgspec.json.encode((model, prompt, tokens))))


class CacheTransfers:
    """Caches of one run of an engine that can be exported, and those imported."""

    def __init__(
        self, weights: LoadedWeights, capacity_completions: int = DEFAULT_CAPACITY_COMPLETIONS
    ) -> None:
        """Hold the newest ``capacity_completions`` of each kind."""
        self._weights = weights
        self._capacity = capacity_completions
        self._completions: OrderedDict[AttemptId, Generation] = OrderedDict()
        self._imports: OrderedDict[str, CacheExport] = OrderedDict()

    def hold(self, generation: Generation) -> None:
        """Hold the cache of a completion, running or ended."""
        self._completions[generation.request.attempt_id] = generation
        while len(self._completions) > self._capacity:
            self._completions.popitem(last=False)

    def export(self, attempt_id: AttemptId) -> CacheExport:
        """Return the cache of an attempt as it stands.

        Raises:
            UnknownAttemptError: It is not held.
            MixedVersionsError: The weights changed while it was computed.
        """
        generation = self._completions.get(attempt_id)
        if generation is None:
            raise UnknownAttemptError(attempt_id)
        versions = generation.versions
        if len(versions) != 1:
            raise MixedVersionsError(f"{attempt_id}: computed by versions {versions}")
        request = generation.request
        tokens = generation.prompt_tokens + len(generation.all_tokens)
        return CacheExport(
            model=request.model,
            weight_version=versions[0],
            content_hash=content_hash(request.model, request.prompt, generation.all_tokens),
            tokens=tokens,
            size_bytes=tokens * BYTES_PER_TOKEN,
        )

    def accept(self, export: CacheExport) -> None:
        """Import a cache.

        Raises:
            BackendRefusedError: Other weights are loaded.
        """
        weights = self._weights
        if export.model != weights.model or export.weight_version != weights.version:
            raise BackendRefusedError(VERSION_NOT_LOADED)
        self._imports[export.content_hash] = export
        while len(self._imports) > self._capacity:
            self._imports.popitem(last=False)

    def refusal_reason(self, request: GenerationRequest) -> str | None:
        """Return why a completion cannot be resumed, and drop the cache that forbids it."""
        found = self._find(request)
        if found is None or found.weight_version == self._weights.version:
            return None
        self._imports.pop(found.content_hash)
        return CACHE_VERSION_MISMATCH

    def take(self, request: GenerationRequest) -> bool:
        """Use up the imported cache of a resumed completion; return whether there was one."""
        found = self._find(request)
        if found is None or found.weight_version != self._weights.version:
            return False
        self._imports.pop(found.content_hash)
        return True

    def _find(self, request: GenerationRequest) -> CacheExport | None:
        if not self._imports:
            return None
        return self._imports.get(content_hash(request.model, request.prompt, request.resume_tokens))
