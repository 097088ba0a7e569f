"""Estimates the token count of a prompt from its bytes, by a ratio learnt for each model. Pure."""

from collections import deque
from statistics import median

DEFAULT_RATIO = 4.0  # bytes per token before the first sample
MAX_SAMPLES = 32  # most recent samples per model
MIN_RATIO, MAX_RATIO = 0.5, 16.0  # a ratio outside of these is a miscount
MAX_MODELS = 256  # beyond this the model with the oldest sample is dropped


class TokenEstimator:
    """Converts bytes to tokens by the median ratio of the most recent samples of each model.

    >>> estimator = TokenEstimator()
    >>> estimator.tokens("m", 400)
    100
    >>> for _ in range(3): estimator.learn("m", 400, 200)
    >>> estimator.tokens("m", 400), estimator.ratio("other")
    (200, 4.0)
    """

    def __init__(self) -> None:
        self.samples: dict[str, deque[float]] = {}

    def ratio(self, model: str) -> float:
        """Estimated bytes per token."""
        return median(self.samples[model]) if model in self.samples else DEFAULT_RATIO

    def tokens(self, model: str, prompt_bytes: int) -> int:
        """Estimated tokens of a prompt."""
        return max(1, round(prompt_bytes / self.ratio(model)))

    def learn(self, model: str, prompt_bytes: int, prompt_tokens: int) -> None:
        """Adds a sample from an engine's token count; an implausible one (no tokens, ratio out of bounds) is ignored."""
        if prompt_bytes <= 0 or prompt_tokens <= 0 or not MIN_RATIO <= prompt_bytes / prompt_tokens <= MAX_RATIO:
            return
        model_samples = self.samples.pop(model, None)
        self.samples[model] = model_samples if model_samples is not None else deque(maxlen=MAX_SAMPLES)
        self.samples[model].append(prompt_bytes / prompt_tokens)
        if len(self.samples) > MAX_MODELS:
            del self.samples[next(iter(self.samples))]
