"""A stand-in engine on a loopback port: the OpenAI-compatible protocol with separate prefill and decode.

`standin.Standin` is the server. It keeps a ledger of what crossed its socket, from which the checkers of the rules
work. Faults are switched on and off through its `faults`.
"""
