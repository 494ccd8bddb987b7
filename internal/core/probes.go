package core

import (
	"context"
	"errors"

	"mothridge/policy"
)

// probe is a health check that the Balancer requested for an endpoint.
type probe struct {
	endpoint  *endpointState
	completed bool
	load      policy.LoadReport
	err       error
}

// startProbe starts a probe of an endpoint in its own goroutine, which ends within the transport's time
// limit for probes. No other goroutine waits for it. An endpoint that was removed is not probed.
func (c *Core) startProbe(id policy.EndpointID) {
	endpoint := c.endpoints.byID[id]
	if endpoint == nil {
		return
	}
	p := &probe{endpoint: endpoint}
	endpoint.probes = append(endpoint.probes, p)
	upstream := endpoint.upstream
	go func() {
		load, err := upstream.Probe(context.Background())
		c.post(probeCompleted{probe: p, load: load, err: err})
	}()
}

// reportProbeResults passes an endpoint's probe results to the Balancer in the order in which the Balancer
// requested the probes, because the Balancer matches results to requests by their order. A result is
// therefore kept until all earlier probes have completed.
func (c *Core) reportProbeResults(endpoint *endpointState) {
	for len(endpoint.probes) > 0 && endpoint.probes[0].completed {
		p := endpoint.probes[0]
		endpoint.probes = endpoint.probes[1:]
		if errors.Is(p.err, ErrNotSent) {
			c.balancer.ProbeNotSent(c.now, endpoint.id)
		} else {
			c.balancer.ProbeCompleted(c.now, endpoint.id, p.err == nil, p.load)
		}
	}
}
