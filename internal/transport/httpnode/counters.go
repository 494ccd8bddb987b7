package httpnode

// Counters counts events since the start of the transport. A tag contains the field's name in logs
// and metrics.
type Counters struct {
	Dials            uint64 // connections opened
	DialFailures     uint64 `metric:"failed"`  // connections that failed to open
	DelimitedByClose uint64 `metric:"unsized"` // forwarded responses without a length
}

// Counters returns the current counts.
func (transport *Transport) Counters() Counters {
	return Counters{
		Dials:            transport.pool.dials.Load(),
		DialFailures:     transport.pool.dialFailures.Load(),
		DelimitedByClose: transport.delimitedByClose.Load(),
	}
}
