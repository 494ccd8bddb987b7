package membership

import "time"

// A source may report an update of an instance that is older than the current record, because a
// replica lags or because a clock was set back; an authoritative source reports none. Such an update
// is deferred, with two exceptions. A stricter status of the same registration applies immediately,
// because no drain may be missed because of a wrong clock. An update that the source repeats for
// Config.StaleUpdateHold applies after that time, because the clock was probably set back.

// deferStaleUpdate reports whether an update must not be applied now because it is older than the
// current record. In that case it stores the update for expireStaleUpdate.
func (s *Set) deferStaleUpdate(now time.Duration, replica string, rec *record, update *Instance) bool {
	if rec.source.authoritative || !isOlder(rec, replica, update) || isStricterStatus(rec, update) {
		return false
	}
	if rec.staleUpdate == nil {
		rec.staleUpdateSince = now
		s.timers[rec.Addr] = true
	}
	deferred := *update
	rec.staleUpdate = &deferred
	return now-rec.staleUpdateSince < s.cfg.StaleUpdateHold
}

// isOlder reports whether an update precedes the current record. The updates of one replica are in
// order, so the registry's clock is compared only if the last update came from another replica.
func isOlder(rec *record, replica string, update *Instance) bool {
	if rec.state == recordDeleted && update.LastDirty <= rec.LastDirty {
		return true // only a new registration replaces a tombstone
	}
	if update.LastDirty != rec.LastDirty {
		return update.LastDirty < rec.LastDirty
	}
	return update.LastUpdated < rec.LastUpdated && replica != rec.source.replica
}

// isStricterStatus reports whether an update belongs to the same registration as the record and has
// a stricter status.
func isStricterStatus(rec *record, update *Instance) bool {
	return rec.state != recordDeleted && update.LastDirty == rec.LastDirty && update.Status > rec.Status
}

// expireStaleUpdate applies the deferred update of a record once Config.StaleUpdateHold has passed,
// and reports whether the update is still deferred. The update stays deferred while its source is
// silent.
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
	rec.LastDirty, rec.LastUpdated = update.LastDirty, update.LastUpdated // later updates are compared with these times
	s.applyInstance(now, rec.source, rec.source.replica, &update)
	return false
}
