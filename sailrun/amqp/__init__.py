"""The AMQP 1.0 front. Each link of a client's connection is one form session."""
