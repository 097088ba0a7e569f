"""Aggregates the events of a stream to a whole answer, for clients that did not request a stream. Pure.

Engines are always asked to stream, as routing decisions depend on the time of the first token. Deltas are merged as the
API's official client does: strings are concatenated, other scalars replaced, lists of objects merged by their `index`.
"""

import msgspec

from ramppulley.service.neutral import CHAT
from ramppulley.wire.faults import TooLarge

MAX_ANSWER_BYTES = 16 << 20  # bytes of events aggregated for one answer
REPLACED_FIELDS = {
    "role",
    "id",
    "type",
    "name",
    "finish_reason",
    "object",
    "model",
}  # string fields that are replaced, not concatenated


def merge(into, delta):
    """
    >>> merge({"content": "a", "role": "assistant"}, {"content": "b", "role": "assistant"})
    {'content': 'ab', 'role': 'assistant'}
    >>> merge({"tool_calls": [{"index": 0, "function": {"arguments": "{"}}]},
    ...       {"tool_calls": [{"index": 0, "function": {"arguments": "}"}}]})["tool_calls"][0]["function"]
    {'arguments': '{}'}
    """
    for key, value in delta.items():
        old = into.get(key)
        if isinstance(value, str) and isinstance(old, str) and key not in REPLACED_FIELDS:
            into[key] = old + value
        elif isinstance(value, dict) and isinstance(old, dict):
            merge(old, value)
        elif isinstance(value, list) and isinstance(old, list):
            for item in value:
                same = [o for o in old if isinstance(item, dict) and "index" in item and o["index"] == item["index"]]
                merge(same[0], item) if same else old.append(item)
        elif value is not None or key not in into:
            into[key] = value
    return into


class StreamAggregator:
    """Collects the events of one stream and builds the whole answer."""

    def __init__(self, kind):
        self.kind, self.top, self.choices, self.size = kind, {}, {}, 0

    def add(self, event):
        """Adds an event; raises TooLarge beyond MAX_ANSWER_BYTES, and msgspec's exceptions if it is not valid JSON."""
        self.size += len(event)
        if self.size > MAX_ANSWER_BYTES:
            raise TooLarge(f"the answer is over {MAX_ANSWER_BYTES} bytes", 502)
        values = msgspec.json.decode(event)
        for choice in values.pop("choices", None) or []:
            merge(self.choices.setdefault(choice.get("index", 0), {}), choice)
        self.top.update((k, v) for k, v in values.items() if v is not None or k not in self.top)

    def to_json(self):
        """The whole answer as JSON bytes."""
        choices = []
        for index in sorted(self.choices):
            choice = self.choices[index]
            if self.kind == CHAT:
                choice["message"] = choice.pop("delta", {})
                for call in choice["message"].get("tool_calls") or []:
                    call.pop("index", None)
            choices.append(choice)
        kind = "chat.completion" if self.kind == CHAT else "text_completion"
        return msgspec.json.encode(self.top | {"object": kind, "choices": choices})
