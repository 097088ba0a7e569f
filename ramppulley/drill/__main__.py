"""Runs the adapter on standard input and output until the input ends."""
import sys

from ramppulley.drill.wire import Malformed, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except Malformed as fault:
        print(f"ramppulley.drill: {fault}", file=sys.stderr)
        sys.exit(2)
