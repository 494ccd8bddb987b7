package membership

import "time"

// A removed instance is remembered for Config.TombstoneLifetime. Until then an update that is
// not newer than it does not bring it back, and an endpoint that another source still lists
// drains.

// markDeleted turns a live or held record into a tombstone.
func (s *Set) markDeleted(now time.Duration, rec *record) {
	rec.source.setState(rec, recordDeleted)
	rec.stateSince, rec.staleUpdate = now, nil
	s.markChanged(rec.Addr)
	s.timers[rec.Addr] = true
}

// expireRecord forgets a tombstone, or removes a held instance, whose time has passed. It
// reports whether the record still has such a time before it.
func (s *Set) expireRecord(now time.Duration, rec *record) (pending bool) {
	switch rec.state {
	case recordDeleted:
		if now-rec.stateSince < s.cfg.TombstoneLifetime {
			return true
		}
		rec.source.forget(rec)
		s.detach(rec, rec.Addr)
		return false
	case recordHeld:
		if s.mayRemoveHeld(now, rec) {
			s.markDeleted(now, rec)
		}
		return true
	default:
		return false
	}
}
