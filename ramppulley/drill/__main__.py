"""Runs the adapter on standard input and output until the input ends."""

import gc
import sys

from ramppulley.drill.wire import Malformed, serve

if __name__ == "__main__":
    gc.set_threshold(50_000, 20, 50)  # the state of many routers must not be traversed again after every few requests
    try:
        serve(sys.stdin, sys.stdout)
    except Malformed as fault:
        print(f"ramppulley.drill: {fault}", file=sys.stderr)
        sys.exit(2)
