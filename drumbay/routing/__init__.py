"""Choice of a back end: selectors, subsets, load and prefix affinity."""
