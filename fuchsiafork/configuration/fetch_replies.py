"""Answers to peers that ask for the configuration."""

from collections.abc import Iterator

from fuchsiafork.configuration.active import ActiveConfiguration
from fuchsiafork.configuration.head import PART_BYTES
from fuchsiafork.messages import ConfigurationDocument, FetchConfiguration


def fetch_replies(
    active: ActiveConfiguration,
    question: FetchConfiguration,
) -> Iterator[ConfigurationDocument]:
    """
    Yield the revision in force, in messages of a bounded size by parts.

    A peer that asks without ``by_parts`` gets one whole text.
    """
    if not question.by_parts:
        yield ConfigurationDocument(active.revision, active.digest, active.text)
        return
    texts = active.part_texts_since(question.revision)
    for batch in _batches(texts):
        yield ConfigurationDocument(
            active.revision,
            active.digest,
            '',
            active.parts,
            batch,
        )


def _batches(texts: list[str]) -> Iterator[tuple[str, ...]]:
    """Yield the texts in groups under the bound of a part, at least one."""
    batch: list[str] = []
    size = 0
    for text in texts:
        if batch and size + len(text) > PART_BYTES:
            yield tuple(batch)
            batch = []
            size = 0
        batch.append(text)
        size += len(text)
    yield tuple(batch)
