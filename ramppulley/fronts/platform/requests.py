"""Translates the platform's requests to the core's InferenceRequest."""

from ramppulley.profile import Profile
from ramppulley.service.clock import remaining_time
from ramppulley.service.neutral import CHAT, InferenceRequest
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage

TENTHS_PER_MS = 10  # of the router's clock
MICROSECONDS_PER_TENTH = 100
BYTES_PER_TOKEN = 4  # for a prompt whose length the client does not give
MAX_SHOWN_PATH_LENGTH, MAX_SHOWN_NAME_LENGTH = 80, 40


class RequestTranslator:
    """Translates requests according to a profile."""

    def __init__(self, profile: Profile) -> None:
        self.profile = profile
        self.class_numbers = {name: i for i, name in enumerate(profile.class_names)}

    def translate(self, request: http.Request, age_s: float = 0.0) -> InferenceRequest:
        """The request for the core, `age_s` seconds after its last byte arrived; raises BadMessage."""
        if request.method != "POST" or not request.target.startswith("/") or request.target.startswith("/-/"):
            raise BadMessage(f"no {request.method} {request.path[:MAX_SHOWN_PATH_LENGTH]} here", 404)
        headers = platform.parse_request_headers(request.headers)
        request_class = self.class_numbers.get(headers.request_class)
        if request_class is None:
            shown = headers.request_class[:MAX_SHOWN_NAME_LENGTH]
            raise BadMessage(f"{platform.REQUEST_CLASS}: no such class {shown!r}")
        return InferenceRequest(
            name=headers.name,
            kind=CHAT,
            model="",
            request_class=request_class,
            body=request,
            deadline=remaining_time(headers.deadline_ms * TENTHS_PER_MS, age_s),
            prompt=len(request.body) // BYTES_PER_TOKEN if headers.prompt is None else headers.prompt,
            max_out=headers.max_out,
            stream=True,
            tenant=headers.tenant,
            session=headers.session,
            prefix=headers.prefix,
            prefix_tokens=headers.prefix_tokens,
            likely_out=self._expected_output_tokens(request_class, headers.hint_us),
            value_share=self.profile.over_share_value,
        )

    def _expected_output_tokens(self, request_class: int, hint_us: int | None) -> int | None:
        """Expected output tokens, if the client's hint gives the duration of the answer."""
        cost = None if hint_us is None else hint_us // MICROSECONDS_PER_TENTH
        return self.profile.expected_output_tokens(self.profile.request_classes[request_class], cost)
