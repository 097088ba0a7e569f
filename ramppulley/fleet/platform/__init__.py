"""The platform's list of workers: discovery watch and list updates."""
