"""The router program: reads its settings, wires the components together, starts and stops them."""
