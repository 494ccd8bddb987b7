package main

import (
	"fmt"
	"time"

	"mothridge/internal/settings"
	"mothridge/internal/wire"
	"mothridge/policy"
)

// host holds the instances of this process and the state that they share.
type host struct {
	reply     wire.Reply
	lists     map[uint16][]policy.Endpoint // by list number; a later list may reuse the number
	instances map[uint32]*instance
}

func newHost() *host {
	return &host{lists: make(map[uint16][]policy.Endpoint), instances: make(map[uint32]*instance)}
}

// handleBatch passes the events of a batch to their instances, in order, and returns the encoded reply. The
// returned slice is valid until the next call.
func (h *host) handleBatch(batch wire.Batch) ([]byte, error) {
	h.reply.Begin(batch.Number)
	body := batch.Body
	for range batch.Records {
		record, rest, err := wire.NextRecord(body)
		if err != nil {
			return nil, err
		}
		body = rest
		if err := h.handleEvent(batch.Clock, record); err != nil {
			return nil, err
		}
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", len(body))
	}
	return h.reply.Bytes(), nil
}

// handleEvent handles one event. It ignores an unknown event code, as a later version of the protocol may have
// added the code.
func (h *host) handleEvent(now time.Duration, record wire.Record) error {
	if record.Code == wire.EventEndpointList {
		return h.storeEndpointList(record)
	}
	if !isInstanceEvent(record.Code) {
		return nil
	}
	number, err := record.Instance()
	if err != nil {
		return err
	}
	switch record.Code {
	case wire.EventInstanceStarted:
		return h.startInstance(now, number, record)
	case wire.EventInstanceStopped:
		delete(h.instances, number)
		return nil
	default:
		return h.handleInstanceEvent(now, number, record)
	}
}

// handleInstanceEvent passes an event to its instance. It ignores events for an instance that is not running, as
// such an instance must not perform any action.
func (h *host) handleInstanceEvent(now time.Duration, number uint32, record wire.Record) error {
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil
	}
	return i.handleEvent(now, record)
}

// isInstanceEvent reports whether an event is addressed to an instance and is one that the instance handles.
func isInstanceEvent(code wire.EventCode) bool {
	switch code {
	case wire.EventInstanceStarted, wire.EventInstanceStopped, wire.EventEndpointUpdate,
		wire.EventRequestReceived, wire.EventAttemptEnded, wire.EventResponseStarted,
		wire.EventTimerFired, wire.EventClientDisconnected, wire.EventProbeEnded:
		return true
	default:
		return false
	}
}

// storeEndpointList stores an endpoint list for later updates that refer to it by its number.
func (h *host) storeEndpointList(record wire.Record) error {
	number, entries, err := record.EndpointList()
	if err != nil {
		return err
	}
	h.lists[number] = policyEndpoints(entries)
	return nil
}

// startInstance starts an instance. It replaces the instance that had the same number before.
func (h *host) startInstance(now time.Duration, number uint32, record wire.Record) error {
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
