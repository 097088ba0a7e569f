"""`python -m ramppulley`: the command line."""
from ramppulley.cli.main import app

if __name__ == "__main__":
    app(prog_name="rp")
