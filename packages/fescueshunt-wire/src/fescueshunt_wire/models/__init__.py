"""Border models, which validate the messages between processes.

Each model has the fields of one data class, whose doc comment describes them.
"""
