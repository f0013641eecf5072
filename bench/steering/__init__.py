"""Simulation, designs and scenarios of the steering experiment."""
