"""Reports of simulations and benchmarks as one self-contained HTML file."""
