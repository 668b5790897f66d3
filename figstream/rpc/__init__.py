"""Schemas of the gRPC services and the code generated from them."""
