package main

import (
	"fmt"
	"time"

	"mothridge/internal/settings"
	"mothridge/internal/wire"
	"mothridge/policy"
)

// host holds the instances of this process and what they share.
type host struct {
	reply     wire.Reply
	lists     map[uint16][]policy.Endpoint // by number, which is used again
	instances map[uint32]*instance
}

func newHost() *host {
	return &host{lists: make(map[uint16][]policy.Endpoint), instances: make(map[uint32]*instance)}
}

// answer hands the events of a batch to their instances, in order, and returns the reply.
// It is valid until the next call.
func (h *host) answer(batch wire.Batch) ([]byte, error) {
	h.reply.Begin(batch.Number)
	body := batch.Body
	for range batch.Records {
		record, rest, err := wire.Next(body)
		if err != nil {
			return nil, err
		}
		body = rest
		if err := h.event(batch.Clock, record); err != nil {
			return nil, err
		}
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes behind the last record", len(body))
	}
	return h.reply.Bytes(), nil
}

// event handles one event. A code of a later version is ignored.
func (h *host) event(now time.Duration, record wire.Record) error {
	if record.Code == wire.EventEndpointList {
		return h.endpointList(record)
	}
	if !forInstance(record.Code) {
		return nil
	}
	number, err := record.Instance()
	if err != nil {
		return err
	}
	switch record.Code {
	case wire.EventInstanceStarted:
		return h.start(now, number, record)
	case wire.EventInstanceStopped:
		delete(h.instances, number)
		return nil
	default:
		return h.instanceEvent(now, number, record)
	}
}

// instanceEvent hands an event to its instance. One that is not running may take no
// action.
func (h *host) instanceEvent(now time.Duration, number uint32, record wire.Record) error {
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil
	}
	return i.event(now, record)
}

// forInstance reports whether an event is for an instance and is of use to it.
func forInstance(code wire.EventCode) bool {
	switch code {
	case wire.EventInstanceStarted, wire.EventInstanceStopped, wire.EventEndpointUpdate,
		wire.EventRequestReceived, wire.EventAttemptEnded, wire.EventResponseStarted,
		wire.EventTimerFired, wire.EventClientDisconnected, wire.EventProbeEnded:
		return true
	default:
		return false
	}
}

// endpointList keeps a list for the updates that refer to it.
func (h *host) endpointList(record wire.Record) error {
	number, entries, err := record.EndpointList()
	if err != nil {
		return err
	}
	h.lists[number] = endpoints(entries)
	return nil
}

// start starts an instance anew.
func (h *host) start(now time.Duration, number uint32, record wire.Record) error {
	seed, text, err := record.InstanceStarted()
	if err != nil {
		return err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := parsed.Config()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, inFlightColumn: parsed.InFlightColumn()}
	h.instances[number] = i
	return i.reportPanic(func() error {
		balancer, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.balancer = balancer
		balancer.Start(now)
		return nil
	})
}
