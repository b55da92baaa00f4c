"""
Quarantine of requests that end the targets which run them.

A part stands for what several requests share: a part of their prompts, or the
whole request that a caller repeats under other ids. Each VM reports the parts
of the requests on which a target was writing an answer when it ended, or had
done so right before. A part under which several targets have ended, and which
none has answered since and lived on, gets no further targets but a few probes.
Does no I/O.

What is proven, and where it is decided:

- an event: that the target lived when it wrote it. The answer has passed the
  places well before it (``progress.proven_by_event``).
- a whole answer: nothing until its target has lived on for a while
  (``settling``); then that the part is harmless up to the end of this answer
  (``progress.proven_by_whole_answer``).
- the end of a target: that one of the parts may be fatal, at the place that the
  answer had got to (``evidence``).
"""

from fuchsiafork.quarantine.acquittals import Acquittal, PendingAcquittals
from fuchsiafork.quarantine.answered import AnsweredParts
from fuchsiafork.quarantine.collection import EndCollection, PendingEnd
from fuchsiafork.quarantine.evidence import PartEvidence, Probe
from fuchsiafork.quarantine.identity import request_part
from fuchsiafork.quarantine.notices import (
    Notice,
    NoticeKind,
    decode_notice,
    encode_notice,
    make_notice,
)
from fuchsiafork.quarantine.progress import (
    EVERYTHING,
    Progress,
    proven_by_event,
    proven_by_whole_answer,
)
from fuchsiafork.quarantine.settling import CompleteAnswer, SettlingAnswers
from fuchsiafork.quarantine.suppression import suppression_delay_s

__all__ = (
    'EVERYTHING',
    'Acquittal',
    'AnsweredParts',
    'CompleteAnswer',
    'EndCollection',
    'Notice',
    'NoticeKind',
    'PartEvidence',
    'PendingAcquittals',
    'PendingEnd',
    'Probe',
    'Progress',
    'SettlingAnswers',
    'decode_notice',
    'encode_notice',
    'make_notice',
    'proven_by_event',
    'proven_by_whole_answer',
    'request_part',
    'suppression_delay_s',
)
