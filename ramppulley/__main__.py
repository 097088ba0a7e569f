"""Entry point of `python -m ramppulley`.

`platform` skips the imports of the other commands, since its memory is bounded.
"""

import gc
import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["platform"]:
        gc.disable()  # little garbage arises during startup; `run` enables collection again
        # SIGHUP stays pending until the router's handler is installed.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from ramppulley.daemon.platform.command import main

        sys.exit(main())
    from ramppulley.cli.main import app

    app(prog_name="rp")
