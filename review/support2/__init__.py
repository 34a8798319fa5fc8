"""Stand-ins, clients and records that the scripts of cases 6 to 10 share."""
