"""Stand-ins for engines: a pure model, and servers and faults around it. Nothing here measures a real machine."""
