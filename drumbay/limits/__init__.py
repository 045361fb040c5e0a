"""Admission, rate limits, retry budgets and circuit breakers."""
