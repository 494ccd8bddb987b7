package rpcnode

import (
	"context"
	"errors"

	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// Probe implements core.Upstream: it requests the health and the load of the upstream. It blocks for at
// most Config.DialTimeout. The probe fails if no result is received by then.
func (upstream *rpcUpstream) Probe(ctx context.Context) (policy.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, upstream.transport.config.DialTimeout)
	defer cancel()
	completed, _ := upstream.exchange(ctx, nil, encodeProbe)
	if completed.err != nil {
		return roundtrip.UnknownLoad(), roundtrip.ProbeError(completed.err)
	}
	if completed.fault != nil {
		return roundtrip.UnknownLoad(), errors.New("probe: " + completed.fault.Kind)
	}
	return policy.LoadReport{InFlight: completed.result.InFlight}, nil
}
