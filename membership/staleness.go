package membership

import "time"

// Because of a replica that lags, or of a clock that was set back, a source may report an update
// of an instance that is older than the one the Set has. It is deferred, with two
// exceptions. A stricter status of the same registration applies at once, as no drain may be
// missed because of a clock. And an update that the source repeats for Config.StaleUpdateHold
// applies then, as the clock was probably set back.

// deferStaleUpdate reports whether an update is not to be applied now because it is older than
// what is held. It keeps the update for expireStaleUpdate.
func (s *Set) deferStaleUpdate(now time.Duration, replica string, rec *record, update *Instance) bool {
	if !isOlder(rec, replica, update) || isStricterStatus(rec, update) {
		return false
	}
	if rec.staleUpdate == nil {
		rec.staleUpdateSince = now
		s.timers[rec.Addr] = true
	}
	kept := *update
	rec.staleUpdate = &kept
	return now-rec.staleUpdateSince < s.cfg.StaleUpdateHold
}

// isOlder reports whether an update precedes what is held. The updates of one replica are in
// order, so the registry's clock counts only where the last update came from another replica.
func isOlder(rec *record, replica string, update *Instance) bool {
	if rec.state == recordDeleted && update.Dirty <= rec.Dirty {
		return true // only a new registration ends a tombstone
	}
	if update.Dirty != rec.Dirty {
		return update.Dirty < rec.Dirty
	}
	return update.Updated < rec.Updated && replica != rec.source.replica
}

// isStricterStatus reports whether an update of the same registration has a stricter status.
func isStricterStatus(rec *record, update *Instance) bool {
	return rec.state != recordDeleted && update.Dirty == rec.Dirty && update.Status > rec.Status
}

// expireStaleUpdate applies a record's deferred update once Config.StaleUpdateHold has passed,
// and reports whether it still waits for that. It goes on waiting while its source is silent.
func (s *Set) expireStaleUpdate(now time.Duration, rec *record) (pending bool) {
	if rec.staleUpdate == nil {
		return false
	}
	if now-rec.staleUpdateSince < s.cfg.StaleUpdateHold || rec.source.silent {
		return true
	}
	if rec.state == recordDeleted {
		return false
	}
	update := *rec.staleUpdate
	rec.staleUpdate = nil
	rec.Dirty, rec.Updated = update.Dirty, update.Updated // later updates are compared with these
	s.applyInstance(now, rec.source, rec.source.replica, &update)
	return false
}
