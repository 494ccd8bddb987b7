package membership

import "time"

// A removed instance is kept as a tombstone for Config.TombstoneLifetime. During this time an update
// that is not newer than the tombstone does not add the instance again, and the endpoint drains if
// another source still lists it.

// markDeleted turns a live or held record into a tombstone.
func (s *Set) markDeleted(now time.Duration, rec *record) {
	rec.source.setState(rec, recordDeleted)
	rec.stateSince, rec.staleUpdate = now, nil
	s.markChanged(rec.Addr)
	s.timers[rec.Addr] = true
}

// expireRecord deletes a tombstone after its lifetime, and turns a held instance that is due for
// removal into a tombstone. It reports whether the record still has a pending timer.
func (s *Set) expireRecord(now time.Duration, rec *record) (pending bool) {
	switch rec.state {
	case recordDeleted:
		if now-rec.stateSince < s.cfg.TombstoneLifetime {
			return true
		}
		rec.source.deleteRecord(rec)
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
