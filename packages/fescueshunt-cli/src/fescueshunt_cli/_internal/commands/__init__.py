"""The commands of `fescueshunt`, one module each."""
