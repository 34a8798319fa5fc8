"""The specification of the replacement of primaries by a call, checked."""
