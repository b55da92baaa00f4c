"""Urgency ranks of requests for engines; 0 is the most urgent."""

LAST_RANK = 9
# Prompt tokens for one rank, if prompts are ranked by size alone.
TOKENS_PER_RANK = 1500
# Ranks of one priority, and prompt tokens below which the first ones apply.
# Engines prefill some 1,500 tokens in 30 ms and 10,000 in 0.2 s.
RANKS_PER_PRIORITY = 3
RANK_TOKENS = (1500, 10_000)


def rank_by_size(prompt_tokens: int) -> int:
    """Return the rank of a prompt; shorter prompts come first."""
    return min(LAST_RANK, prompt_tokens // TOKENS_PER_RANK)


def rank_by_priority(priority: int, prompt_tokens: int) -> int:
    """
    Return the rank of a prompt; shorter ones come first in a priority.

    :param priority: priority of the request, 0 is the highest.
    :param prompt_tokens: tokens that the target must prefill.
    """
    first = RANKS_PER_PRIORITY * max(0, priority)
    larger = sum(prompt_tokens >= tokens for tokens in RANK_TOKENS)
    return min(LAST_RANK, first + larger)


__all__ = ('rank_by_priority', 'rank_by_size')
