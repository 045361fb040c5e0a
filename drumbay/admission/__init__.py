"""Admission of requests to services whose workers have too little room for all of them."""
