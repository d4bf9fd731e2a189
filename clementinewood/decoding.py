"""What malformed documents can raise while they are decoded."""

ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions of code that takes a decoded JSON or TOML document apart. JSON as
Python reads it has infinities, whose conversion raises `OverflowError`; deeply
nested documents raise `RecursionError`."""
