"""Health of upstreams and jobs: ejection, circuit breakers, departures."""
