"""The AMQP 1.0 front: each link of a client's connection is one form session."""
