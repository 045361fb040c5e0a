"""Run the command line with ``python -m drumbay``."""

from drumbay.cli.main import run

if __name__ == "__main__":
    run()
