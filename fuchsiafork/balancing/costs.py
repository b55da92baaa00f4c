"""The work that requests cause at targets."""

import dataclasses

# Prompt tokens that an engine prefills in about the time in which it generates
# one output token for one request of a batch.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkCost:
    """
    Expected work of one request at a target.

    :ivar prompt_tokens: tokens that an engine must prefill.
    :ivar output_tokens: tokens that it will generate.
    :ivar seconds: time of service at a target that is no engine.
    :ivar held_tokens: memory of the engine that the request takes up, tokens.
    """

    prompt_tokens: int = 0
    output_tokens: float = 0.0
    seconds: float = 0.0
    held_tokens: int = 0

    @property
    def units(self) -> float:
        """Work at an engine, in prompt tokens."""
        output = PROMPT_TOKENS_PER_OUTPUT_TOKEN * self.output_tokens
        return self.prompt_tokens + output

    def without(self, prompt_tokens: int, output_tokens: float) -> 'WorkCost':
        """Return the work that is left without some tokens."""
        if not prompt_tokens and not output_tokens:
            return self
        return WorkCost(
            max(0, self.prompt_tokens - prompt_tokens),
            max(0.0, self.output_tokens - output_tokens),
            self.seconds,
            self.held_tokens,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """
    Outstanding work of one target.

    :ivar requests: requests that it has not answered yet.
    :ivar prompt_tokens: tokens of their prompts that it has not prefilled yet.
    :ivar output_tokens: tokens that it has not generated yet.
    :ivar seconds: time of service of its requests if it is no engine.
    """

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: float = 0.0
    seconds: float = 0.0

    def __add__(self, other: 'TargetLoad') -> 'TargetLoad':
        """Return the work of both."""
        return TargetLoad(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.seconds + other.seconds,
        )


__all__ = ('PROMPT_TOKENS_PER_OUTPUT_TOKEN', 'TargetLoad', 'WorkCost')
