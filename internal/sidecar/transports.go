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

// transport carries out attempts by one protocol.
type transport interface {
	// Upstream returns the upstream at an address, without I/O.
	Upstream(address string) core.Upstream
	// Sweep closes connections that have been idle for too long by now.
	Sweep(now time.Time)
}

// newTransports makes the transports that the pools need: one for all HTTP
// endpoints, one for each MessagePack-RPC pool. It returns what finds the upstream of an endpoint.
func (s *service) newTransports() func(core.Endpoint) core.Upstream {
	_, connections := s.config.Limits.connections()
	pools := s.config.Operator.Pools
	forRPC, rpcPools := 0, 0
	for i := range pools {
		if pools[i].Protocol == operator.RPC {
			rpcPools++
		}
	}
	if s.config.Operator.Uses(operator.RPC) {
		forRPC = connections / 2
	}
	httpTransport := s.newHTTPTransport(connections - forRPC)
	s.transports = []transport{httpTransport}
	byPool := make([]transport, len(pools))
	for i := range pools {
		if pools[i].Protocol == operator.HTTP {
			byPool[i] = httpTransport
			continue
		}
		byPool[i] = s.newRPCTransport(&pools[i], max(1, forRPC/rpcPools))
		s.transports = append(s.transports, byPool[i])
	}
	return func(e core.Endpoint) core.Upstream {
		for i := range pools {
			if serves(&pools[i], &e) {
				return byPool[i].Upstream(e.Addr)
			}
		}
		return httpTransport.Upstream(e.Addr)
	}
}

// serves says whether an endpoint belongs to a pool. The protocol that its source names,
// if any, has to be the pool's.
func serves(pool *operator.Pool, e *core.Endpoint) bool {
	if e.Protocol != "" && e.Protocol != string(pool.Protocol) {
		return false
	}
	return pool.Matches(cmp.Or(e.Host, e.Name), e.Zone, e.MachineType)
}

func (s *service) newHTTPTransport(connections int) *httpnode.Transport {
	t := httpnode.New(httpnode.Config{
		DialTimeout:      s.config.DialTimeout,
		IdleTimeout:      s.config.ConnIdle,
		MaxConnections:   connections,
		LoadReportField:  s.config.LoadField,
		ProbeLoadReports: s.config.Policy.ProbeLoadReports,
	})
	s.showTransport("", operator.HTTP, func() any { return t.Counters() })
	return t
}

func (s *service) newRPCTransport(pool *operator.Pool, connections int) *rpcnode.Transport {
	t := rpcnode.New(rpcnode.Config{
		DialTimeout:    s.config.DialTimeout,
		IdleTimeout:    s.config.ConnIdle,
		MaxConnections: connections,
		MaxInFlight:    int(pool.MaxInFlight),
	})
	s.showTransport(pool.Name, operator.RPC, func() any { return t.Counters() })
	return t
}

// showTransport adds a transport's counters to the metrics, if there are any.
func (s *service) showTransport(pool string, protocol operator.Protocol, counters func() any) {
	if s.metrics == nil {
		return
	}
	s.metrics.Add(func(show *metrics.Show) {
		show.Counters("transport_total", "What became of connections to nodes, by event.", "event", counters(),
			"pool", pool, "protocol", string(protocol))
	})
}
