"""Small fakes of what stands around the system: endpoints and the platform."""
