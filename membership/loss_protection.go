package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Loss protection limits how many instances a source can remove at once. An instance that a source
// no longer lists or reports as deregistered may have ended, or may be missing because of a fault
// of the source. A source may therefore lose at most the share Config.MaxLoss of its instances
// within Config.LossWindow, but always one instance, and never its last one. If it loses more, the
// lost instances are held: they stay in the view with their last status. After Config.LossHold
// they are removed, if their source then responds and lists at least one other instance. The list of an
// authoritative source is an instruction and not a report: the instances that it loses are removed at once, even
// the last one.

// removeInstance handles an instance that its source reports as deregistered.
func (s *Set) removeInstance(now time.Duration, src *source, removed *Instance) {
	rec := src.records[removed.ID]
	if rec == nil || rec.state != recordLive {
		return
	}
	if removed.LastDirty != 0 && removed.LastDirty < rec.LastDirty {
		return // the instance has registered again since then
	}
	s.removeOrHold(now, []*record{rec}, src.lossAllowed(now, 1, &s.cfg))
}

// removeAbsent handles the instances that are absent from a complete list of their source.
// Instances that are already held are left to expireRecord.
func (s *Set) removeAbsent(now time.Duration, src *source, present map[string]bool) {
	var absent []*record
	anyAbsent := false
	for id, rec := range src.records {
		if present[id] || rec.state == recordDeleted {
			continue
		}
		anyAbsent = true
		if rec.state == recordLive {
			absent = append(absent, rec)
		}
	}
	if !anyAbsent {
		src.reason = ""
	}
	if len(absent) == 0 {
		return
	}
	slices.SortFunc(absent, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	s.removeOrHold(now, absent, src.lossAllowed(now, len(absent), &s.cfg))
}

// removeOrHold removes the absent instances if their loss is allowed, and holds them otherwise.
func (s *Set) removeOrHold(now time.Duration, absent []*record, allowed bool) {
	for _, rec := range absent {
		if allowed {
			s.markDeleted(now, rec)
		} else {
			s.holdLost(now, rec)
		}
	}
}

// lossAllowed reports whether a source may lose n more live instances now. The losses within
// Config.LossWindow are summed.
func (src *source) lossAllowed(now time.Duration, n int, cfg *Config) bool {
	if src.authoritative {
		return true
	}
	live := src.recordCount[recordLive]
	if now-src.lossWindowStart >= cfg.LossWindow || src.lossBaseline < live {
		src.lossWindowStart, src.lossBaseline = now, live
	}
	if live-n < 1 {
		return false
	}
	lost := src.lossBaseline - live + n
	return lost <= max(1, int(float64(src.lossBaseline)*cfg.MaxLoss))
}

// holdLost holds an instance that its source lost together with more instances than Config.MaxLoss
// allows.
func (s *Set) holdLost(now time.Duration, rec *record) {
	src := rec.source
	src.setState(rec, recordHeld)
	rec.stateSince = now
	live, held := src.recordCount[recordLive], src.recordCount[recordHeld]
	src.reason = fmt.Sprintf("lost %d of %d instances at once: the lost instances are held", held, held+live)
	s.markChanged(rec.Addr)
	s.timers[rec.Addr] = true
}

// mayRemoveHeld reports whether Config.LossHold has passed for a held instance and its source
// responds and lists at least one instance.
func (s *Set) mayRemoveHeld(now time.Duration, rec *record) bool {
	src := rec.source
	return now-rec.stateSince >= s.cfg.LossHold && src.recordCount[recordLive] > 0 && !src.silent
}
