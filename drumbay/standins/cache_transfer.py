"""Transfer of the KV cache of a completion between engines.

A KV cache is valid only for the weights that computed it. An engine refuses to import a cache
of another version, and refuses to resume from a cache that was imported before its weights
changed; the caller then resumes without the cache.
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
"""KV cache size of one token for a model of about 8 billion parameters at 16 bits."""


class CacheExport(msgspec.Struct, frozen=True, kw_only=True):
    """Descriptor of the exported KV cache of a completion, without the tensors.

    Attributes:
        model: Model that computed it.
        weight_version: Weight version that computed it.
        content_hash: Hash of the prompt and the generated tokens.
        tokens: Number of cached tokens, including the prompt.
        size_bytes: Size of the cache.
    """

    model: str
    weight_version: WeightVersion
    content_hash: str
    tokens: int
    size_bytes: int


class MixedVersionsError(BackendError):
    """A cache computed by several weight versions cannot be exported."""

    code = "mixed_versions"


class UnknownAttemptError(BackendError):
    """The engine has no cache for an attempt."""

    code = "unknown_attempt"


def content_hash(model: str, prompt: str, tokens: tuple[int, ...]) -> str:
    """Return the hash of a model, a prompt and the generated tokens."""
    return str(xxhash.xxh64_hexdigest(msgspec.json.encode((model, prompt, tokens))))


class CacheTransfers:
    """Exportable and imported KV caches of one engine process."""

    def __init__(
        self, weights: LoadedWeights, capacity_completions: int = DEFAULT_CAPACITY_COMPLETIONS
    ) -> None:
        """Create empty caches; each keeps its newest ``capacity_completions`` entries."""
        self._weights = weights
        self._capacity = capacity_completions
        self._completions: OrderedDict[AttemptId, Generation] = OrderedDict()
        self._imports: OrderedDict[str, CacheExport] = OrderedDict()

    def retain(self, generation: Generation) -> None:
        """Keep the cache of a running or ended completion for export."""
        self._completions[generation.request.attempt_id] = generation
        while len(self._completions) > self._capacity:
            self._completions.popitem(last=False)

    def export(self, attempt_id: AttemptId) -> CacheExport:
        """Return a descriptor of the current cache of an attempt.

        Raises:
            UnknownAttemptError: The engine has no cache for the attempt.
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

    def store_import(self, export: CacheExport) -> None:
        """Store an imported cache.

        Raises:
            BackendRefusedError: Another model or weight version is loaded.
        """
        weights = self._weights
        if export.model != weights.model or export.weight_version != weights.version:
            raise BackendRefusedError(VERSION_NOT_LOADED)
        self._imports[export.content_hash] = export
        while len(self._imports) > self._capacity:
            self._imports.popitem(last=False)

    def refusal_reason(self, request: GenerationRequest) -> str | None:
        """Return why a completion cannot be resumed, and drop the outdated cache."""
        imported = self._find(request)
        if imported is None or imported.weight_version == self._weights.version:
            return None
        self._imports.pop(imported.content_hash)
        return CACHE_VERSION_MISMATCH

    def consume_import(self, request: GenerationRequest) -> bool:
        """Remove the imported cache for a resumed completion; return whether there was one."""
        imported = self._find(request)
        if imported is None or imported.weight_version != self._weights.version:
            return False
        self._imports.pop(imported.content_hash)
        return True

    def _find(self, request: GenerationRequest) -> CacheExport | None:
        if not self._imports:
            return None
        return self._imports.get(content_hash(request.model, request.prompt, request.resume_tokens))
