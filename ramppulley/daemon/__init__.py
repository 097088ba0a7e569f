"""The program: reads its orders, wires the parts together, starts and stops them."""
