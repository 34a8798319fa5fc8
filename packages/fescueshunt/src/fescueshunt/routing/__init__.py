"""The routing pipe, which puts the operator's routes in force."""
