"""What the nodes of a tier hold together: told in rounds, summed by one of them, heard by all."""
