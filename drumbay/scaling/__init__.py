"""How many workers a service is to have in each zone, ordered from the platform by the leader."""
