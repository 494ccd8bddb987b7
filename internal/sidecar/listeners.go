package sidecar

import (
	"context"
	"net"

	"mothridge/internal/front/httpfront"
	"mothridge/internal/front/rpcfront"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
)

// frontEnd reads requests of one protocol from a listener and writes their responses.
type frontEnd interface {
	// Serve accepts connections until Shutdown; another end is an error.
	Serve() error
	// Drain signals clients to send nothing new. What still comes is served.
	Drain()
	// Shutdown closes the listener, finishes the requests in flight and ends, at the
	// latest when its context does.
	Shutdown(context.Context) error
}

// listen opens the platform's listener and those of the operators' file, in its order.
func (c *Config) listen() ([]net.Listener, error) {
	addresses := []string{c.Listen}
	for _, l := range c.Operator.Listeners {
		addresses = append(addresses, string(l.Address))
	}
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// newFrontEnds makes the front end of each listener; they share the clients' connections evenly.
func (s *service) newFrontEnds(listeners []net.Listener) []frontEnd {
	clients, _ := s.config.Limits.connections()
	each := clients / len(listeners)
	all := make([]frontEnd, len(listeners))
	for i, listener := range listeners {
		settings := operator.Listener{Protocol: operator.HTTP} // the platform's
		if i > 0 {
			settings = s.config.Operator.Listeners[i-1]
		}
		if settings.Protocol == operator.HTTP {
			f := s.newHTTPFrontEnd(listener, each)
			all[i] = f
			s.showListener(listener, settings.Protocol, func() any { return f.Counters() })
		} else {
			f := s.newRPCFrontEnd(listener, each, settings)
			all[i] = f
			s.showListener(listener, settings.Protocol, func() any { return f.Counters() })
		}
	}
	return all
}

func (s *service) newHTTPFrontEnd(listener net.Listener, connections int) *httpfront.Front {
	return httpfront.New(httpfront.Config{
		Classes:         s.config.Classes,
		Idempotency:     s.config.idempotencies(),
		Tenants:         s.config.Tenants,
		MaxConnections:  connections,
		EarliestArrival: s.core.EarliestArrival,
	}, s.handler, listener)
}

func (s *service) newRPCFrontEnd(listener net.Listener, connections int, settings operator.Listener) *rpcfront.Front {
	return rpcfront.New(rpcfront.Config{
		Classes:                  s.config.Classes,
		Idempotency:              s.config.idempotencies(),
		Tenants:                  s.config.Tenants,
		MaxConnections:           connections,
		EarliestArrival:          s.core.EarliestArrival,
		MaxRequestsInFlight:      int(settings.MaxInFlight),
		MaxBufferedResponseBytes: int(settings.MaxBufferedBytes),
		ErrorsAsText:             settings.ErrorFormat == operator.ErrorTexts,
	}, s.handler, listener)
}

// showListener adds a listener's counters to the metrics, if there are any.
func (s *service) showListener(listener net.Listener, protocol operator.Protocol, counters func() any) {
	if s.metrics == nil {
		return
	}
	s.metrics.Add(func(show *metrics.Show) {
		show.Counters("front_total", "What came on a listener, by event.", "event", counters(),
			"listener", listener.Addr().String(), "protocol", string(protocol))
	})
}
