"""Answers to peers that ask for the configuration."""

from collections.abc import Iterator

from fuchsiafork.configuration.active import ConfigurationCopy
from fuchsiafork.configuration.head import PART_BYTES
from fuchsiafork.messages import ConfigurationDocument, FetchConfiguration


def fetch_replies(
    copy: ConfigurationCopy,
    question: FetchConfiguration,
) -> Iterator[ConfigurationDocument]:
    """
    Yield the revision in force, in messages of a bounded size by parts.

    A peer that asks without ``by_parts`` gets one whole text.
    """
    if not question.by_parts:
        yield ConfigurationDocument(copy.revision, copy.digest, copy.text)
        return
    texts = copy.texts_since(question.revision)
    for batch in _batches(texts):
        yield ConfigurationDocument(
            copy.revision,
            copy.digest,
            '',
            copy.parts,
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
