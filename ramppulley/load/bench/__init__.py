"""Measures the router's overhead against stand-in engines; ratios compare direct and routed requests of one run.

The figures have no pass or fail limits, because machines differ and are shared. `command.main` runs the parts of the
benchmark, each of which is a module. The fields of the parts' result classes are the keys of the JSON output.
"""
