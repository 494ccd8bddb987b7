package httpnode

// Counters counts events since the start of the transport. A metric tag contains
// the counter's name in logs and metrics if that differs from the field name.
type Counters struct {
	ConnectionsOpened uint64 `metric:"dials"`   // connections opened
	DialFailures      uint64 `metric:"failed"`  // connections that failed to open
	DelimitedByClose  uint64 `metric:"unsized"` // forwarded responses without a length
}

// Counters returns the current counts.
func (transport *Transport) Counters() Counters {
	return Counters{
		ConnectionsOpened: transport.pool.connectionsOpened.Load(),
		DialFailures:      transport.pool.dialFailures.Load(),
		DelimitedByClose:  transport.delimitedByClose.Load(),
	}
}
