"""Replies to peers that fetch the configuration."""

from collections.abc import Iterator

from fuchsiafork.configuration.active import ActiveConfiguration
from fuchsiafork.configuration.head import MAX_PART_BYTES
from fuchsiafork.messages import ConfigurationDocument, FetchConfiguration


def fetch_replies(
    active: ActiveConfiguration,
    request: FetchConfiguration,
) -> Iterator[ConfigurationDocument]:
    """
    Yield the parts that the peer lacks, in messages of bounded size.

    A request without ``by_parts`` gets the whole text in one message.
    """
    if not request.by_parts:
        yield ConfigurationDocument(active.revision, active.digest, active.text)
        return
    texts = active.part_texts_since(request.revision)
    for batch in _batch_by_size(texts):
        yield ConfigurationDocument(
            active.revision,
            active.digest,
            '',
            active.parts,
            batch,
        )


def _batch_by_size(texts: list[str]) -> Iterator[tuple[str, ...]]:
    """Yield at least one batch, each within the size limit of a part."""
    batch: list[str] = []
    size = 0
    for text in texts:
        if batch and size + len(text) > MAX_PART_BYTES:
            yield tuple(batch)
            batch = []
            size = 0
        batch.append(text)
        size += len(text)
    yield tuple(batch)
