package sidecar

import (
	"cmp"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/transport/httpnode"
	"mothridge/internal/transport/rpcnode"
)

// transport sends attempts over one protocol.
type transport interface {
	// Upstream returns the upstream at an address. It does no I/O.
	Upstream(address string) core.Upstream
	// Sweep closes connections that have been idle for too long at the time now.
	Sweep(now time.Time)
}

// newTransports creates the transports: one for all HTTP endpoints and one for each MessagePack-RPC
// pool. The MessagePack-RPC pools share half of the upstream connections evenly, if there are any.
// The returned function returns the upstream of an endpoint.
func (s *service) newTransports() func(core.Endpoint) core.Upstream {
	_, connections := s.config.Limits.connections()
	pools := s.config.Operator.Pools
	rpcConnections, rpcPools := 0, 0
	for i := range pools {
		if pools[i].Protocol == operator.RPC {
			rpcPools++
		}
	}
	if s.config.Operator.Uses(operator.RPC) {
		rpcConnections = connections / 2
	}
	httpTransport := s.newHTTPTransport(connections - rpcConnections)
	s.transports = []transport{httpTransport}
	byPool := make([]transport, len(pools))
	for i := range pools {
		if pools[i].Protocol == operator.HTTP {
			byPool[i] = httpTransport
			continue
		}
		byPool[i] = s.newRPCTransport(&pools[i], max(1, rpcConnections/rpcPools))
		s.transports = append(s.transports, byPool[i])
	}
	return func(e core.Endpoint) core.Upstream {
		for i := range pools {
			if poolContains(&pools[i], &e) {
				return byPool[i].Upstream(e.Addr)
			}
		}
		return httpTransport.Upstream(e.Addr)
	}
}

// poolContains reports whether a pool contains an endpoint. If the source of the endpoint sets a protocol,
// that must be the protocol of the pool.
func poolContains(pool *operator.Pool, e *core.Endpoint) bool {
	if e.Protocol != "" && e.Protocol != string(pool.Protocol) {
		return false
	}
	return pool.Matches(cmp.Or(e.Host, e.Name), cmp.Or(e.PoolSite, e.Zone), e.MachineType)
}

func (s *service) newHTTPTransport(connections int) *httpnode.Transport {
	t := httpnode.New(httpnode.Config{
		DialTimeout:      s.config.DialTimeout,
		IdleTimeout:      s.config.UpstreamIdleTimeout,
		MaxConnections:   connections,
		LoadReportField:  s.config.InFlightFieldName,
		ProbeLoadReports: s.config.Policy.ProbeLoadReports,
	})
	s.addTransportMetrics("", operator.HTTP, func() any { return t.Counters() })
	return t
}

func (s *service) newRPCTransport(pool *operator.Pool, connections int) *rpcnode.Transport {
	t := rpcnode.New(rpcnode.Config{
		DialTimeout:    s.config.DialTimeout,
		IdleTimeout:    s.config.UpstreamIdleTimeout,
		MaxConnections: connections,
		MaxInFlight:    int(pool.MaxInFlight),
	})
	s.addTransportMetrics(pool.Name, operator.RPC, func() any { return t.Counters() })
	return t
}

// addTransportMetrics adds a transport's counters to the metrics, if metrics are on.
func (s *service) addTransportMetrics(pool string, protocol operator.Protocol, counters func() any) {
	if s.metrics == nil {
		return
	}
	s.metrics.Add(func(scrape *metrics.Scrape) {
		scrape.Counters("transport_total", "Events on the upstream connections of a transport, by event.", "event", counters(),
			"pool", pool, "protocol", string(protocol))
	})
}
