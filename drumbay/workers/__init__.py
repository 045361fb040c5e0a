"""Workers behind the service: what is known of them, and the calls made to them."""
