package sidecar

import (
	"context"
	"net"

	"mothridge/internal/front/frontend"
	"mothridge/internal/front/httpfront"
	"mothridge/internal/front/rpcfront"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
)

// frontEnd serves one protocol on one listener: it reads requests and writes their responses.
type frontEnd interface {
	// Serve accepts connections and blocks until Shutdown. It returns an error if it ends earlier.
	Serve() error
	// Drain signals clients to send no new requests. Requests that still arrive are served.
	Drain()
	// Shutdown closes the listener and blocks until the requests in flight have ended, at most
	// until its context ends.
	Shutdown(context.Context) error
}

// listen opens the platform's listener, then the listeners of the operators' file in file order.
func (c *Config) listen() ([]net.Listener, error) {
	addresses := []string{c.Listen}
	for _, l := range c.Operator.Listeners {
		addresses = append(addresses, string(l.Address))
	}
	var listeners []net.Listener
	config := net.ListenConfig{KeepAlive: -1} // idle connections are closed long before it would notice anything
	for _, address := range addresses {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			closeListeners(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func closeListeners(listeners []net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// newFrontEnds returns a front end for each listener. Each front end gets an equal share of the
// maximum number of client connections.
func (s *service) newFrontEnds(listeners []net.Listener) []frontEnd {
	clients, _ := s.config.Limits.connections()
	connectionsPerListener := clients / len(listeners)
	memory := s.config.Limits.requestMemory()
	s.addMemoryMetrics(memory)
	frontEnds := make([]frontEnd, len(listeners))
	for i, listener := range listeners {
		settings := operator.Listener{Protocol: operator.HTTP} // of the platform's listener
		if i > 0 {
			settings = s.config.Operator.Listeners[i-1]
		}
		if settings.Protocol == operator.HTTP {
			f := s.newHTTPFrontEnd(listener, connectionsPerListener, memory)
			frontEnds[i] = f
			s.addListenerMetrics(listener, settings.Protocol, func() any { return f.Counters() }, f.AdmissionState)
		} else {
			f := s.newRPCFrontEnd(listener, connectionsPerListener, memory, settings)
			frontEnds[i] = f
			s.addListenerMetrics(listener, settings.Protocol, func() any { return f.Counters() }, f.AdmissionState)
		}
	}
	return frontEnds
}

func (s *service) newHTTPFrontEnd(
	listener net.Listener, connections int, memory *frontend.RequestMemory,
) *httpfront.Front {
	return httpfront.New(httpfront.Config{
		Classes:         s.config.Classes,
		Idempotency:     s.config.idempotencies(),
		Tenants:         s.config.Tenants,
		MaxConnections:  connections,
		EarliestArrival: s.core.EarliestArrival,
		Memory:          memory,
		Pacer:           s.pacer,
	}, s.handler, listener)
}

func (s *service) newRPCFrontEnd(
	listener net.Listener, connections int, memory *frontend.RequestMemory, settings operator.Listener,
) *rpcfront.Front {
	return rpcfront.New(rpcfront.Config{
		Classes:                  s.config.Classes,
		Idempotency:              s.config.idempotencies(),
		Tenants:                  s.config.Tenants,
		MaxConnections:           connections,
		EarliestArrival:          s.core.EarliestArrival,
		Memory:                   memory,
		Pacer:                    s.pacer,
		MaxRequestsInFlight:      int(settings.MaxInFlight),
		MaxBufferedResponseBytes: int(settings.MaxBufferedBytes),
		ErrorsAsText:             settings.ErrorFormat == operator.ErrorTexts,
	}, s.handler, listener)
}

// addListenerMetrics adds a listener's counters, and how its new connections waited, to the metrics, if metrics are on.
func (s *service) addListenerMetrics(
	listener net.Listener, protocol operator.Protocol, counters func() any, admission func() frontend.AdmissionState,
) {
	if s.metrics == nil {
		return
	}
	labels := []string{"listener", listener.Addr().String(), "protocol", string(protocol)}
	s.metrics.Add(func(scrape *metrics.Scrape) {
		scrape.Counters("front_total", "Events on a listener, by event.", "event", counters(), labels...)
		state := admission()
		scrape.Counter("admission_waited_seconds_total", "Time that new connections waited for processor time.", state.Waited.Seconds(), labels...)
		scrape.Gauge("admission_longest_wait_seconds", "Longest of these times.", state.LongestWait.Seconds(), labels...)
		scrape.Counter("admission_full_seconds_total", "Time for which no new connection was served, as the limit of connections was reached.", state.Full.Seconds(), labels...)
		scrape.Gauge("admission_longest_full_seconds", "Longest of these times.", state.LongestFull.Seconds(), labels...)
		scrape.Gauge("admission_longest_backlog", "Largest number of connections that waited behind such a one.", float64(state.LongestBacklog), labels...)
		scrape.Counter("admission_backlog_limits_total", "Times for which the backlog was limited.", float64(state.BacklogLimits), labels...)
	})
}

// addMemoryMetrics adds how requests wait for memory to the metrics, if metrics are on.
func (s *service) addMemoryMetrics(memory *frontend.RequestMemory) {
	if s.metrics == nil {
		return
	}
	s.metrics.Add(func(scrape *metrics.Scrape) {
		count, total := memory.Waits()
		scrape.Counter("memory_waits_total", "Times for which large requests waited for memory.", float64(count))
		scrape.Counter("memory_waited_seconds_total", "Sum of these times.", total.Seconds())
	})
}
