package rpcnode

import (
	"context"
	"errors"

	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// Probe implements core.Upstream: it requests the health of the upstream and its load. It blocks
// for Config.DialTimeout at most. The probe fails without a result by then.
func (upstream *rpcUpstream) Probe(ctx context.Context) (policy.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, upstream.transport.config.DialTimeout)
	defer cancel()
	answer, _ := upstream.exchange(ctx, nil, encodeProbe)
	if answer.err != nil {
		return roundtrip.UnknownLoad(), roundtrip.ProbeError(answer.err)
	}
	if answer.fault != nil {
		return roundtrip.UnknownLoad(), errors.New("probe: " + answer.fault.Kind)
	}
	return policy.LoadReport{InFlight: answer.result.InFlight}, nil
}
