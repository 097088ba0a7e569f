"""Maps responses of the platform's workers to outcomes. No I/O; failures of connections are mapped in `engines.proof`.

| response | outcome | did the request run? |
| --- | --- | --- |
| 200 and events, from a decode worker | done at the last chunk | yes |
| 202 from a prefill worker | read | prefill only, no response for the client |
| 503 or 504 with `Srv-Declined: 1` | no room | never |
| 410 with `Srv-Declined: 1`, from a decode worker | no state | never |
| anything else | fault | possibly |
| corrupt response from a decode worker | spoilt: the KV state was fetched | possibly |
"""

from ramppulley import door


def status_outcome(status: int, declined: bool, is_prefill: bool) -> str:
    """The outcome of a complete response with this status.

    >>> status_outcome(503, True, False), status_outcome(503, False, False), status_outcome(410, True, False)
    ('no_room', 'fault', 'no_state')
    >>> status_outcome(202, False, True), status_outcome(202, False, False), status_outcome(410, True, True)
    ('read', 'fault', 'fault')
    """
    if status == 202 and is_prefill:
        return door.READ
    if declined and status in (503, 504):
        return door.NO_ROOM
    if declined and status == 410 and not is_prefill:
        return door.NO_STATE
    return door.FAULT
