"""The operators' language: text in, typed statements out."""
