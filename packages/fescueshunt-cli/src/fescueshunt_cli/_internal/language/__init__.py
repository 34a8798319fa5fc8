"""The operators' query and command language: parser, completion, output."""
