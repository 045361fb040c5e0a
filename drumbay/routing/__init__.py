"""Load balancing over backends: label selectors, subsetting, load and prefix affinity."""
