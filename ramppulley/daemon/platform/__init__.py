"""The router process on the platform: configuration, limits, wiring of its components, reload and signals."""
