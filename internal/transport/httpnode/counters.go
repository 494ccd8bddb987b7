package httpnode

// Counters count events from the start on. Their names in logs and metrics are in the tags.
type Counters struct {
	Dials            uint64 // connections that were opened
	DialFailures     uint64 `metric:"failed"`  // connections that could not be opened
	DelimitedByClose uint64 `metric:"unsized"` // responses without a length that were forwarded
}

// Counters returns the counts so far.
func (transport *Transport) Counters() Counters {
	return Counters{
		Dials:            transport.pool.dials.Load(),
		DialFailures:     transport.pool.dialFailures.Load(),
		DelimitedByClose: transport.delimitedByClose.Load(),
	}
}
