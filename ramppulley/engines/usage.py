"""Parses the usage object of a response in the format of the OpenAI API. No I/O."""

from ramppulley.service.neutral import Usage


def usage_of(usage: object) -> Usage | None:
    """Parses a usage object; None if it is not an object. Missing or invalid counts are 0."""
    if not isinstance(usage, dict):
        return None
    details = usage.get("prompt_tokens_details")
    counts = [
        usage.get("prompt_tokens"),
        usage.get("total_tokens"),
        usage.get("completion_tokens"),
        details.get("cached_tokens") if isinstance(details, dict) else None,
    ]
    prompt, total, completion, cached = (count if isinstance(count, int) and count >= 0 else 0 for count in counts)
    return Usage(prompt or total, cached, completion)
