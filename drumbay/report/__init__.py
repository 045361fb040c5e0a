"""Reports of simulations and benches as one self-contained HTML file."""
