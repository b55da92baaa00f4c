"""
Adapter to the users' platform: translates its words into the product's.

Nothing outside this package knows the platform's names of headers, fields,
keys and paths.
"""
