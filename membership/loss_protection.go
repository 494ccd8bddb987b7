package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// An instance that a source no longer lists, or that it says was deregistered, may have ended
// or may be lost to a fault of the source. A source may therefore lose Config.MaxLoss of its
// instances within Config.LossWindow, one at least, and never its last one. Instances of a
// greater loss are held with their last status. After Config.LossHold they are removed, if
// their source then responds and lists some other instance.

// removeInstance handles an instance that its source reports as deregistered.
func (s *Set) removeInstance(now time.Duration, src *source, removed *Instance) {
	rec := src.records[removed.ID]
	if rec == nil || rec.state != recordLive {
		return
	}
	if removed.Dirty != 0 && removed.Dirty < rec.Dirty {
		return // it has registered again since
	}
	s.removeOrHold(now, []*record{rec}, src.lossAllowed(now, 1, &s.cfg))
}

// removeAbsent handles the instances that a complete list of their source does not hold.
// Those that are held already are left to expireRecord.
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

func (s *Set) removeOrHold(now time.Duration, absent []*record, allowed bool) {
	for _, rec := range absent {
		if allowed {
			s.markDeleted(now, rec)
		} else {
			s.holdLost(now, rec)
		}
	}
}

// lossAllowed reports whether a source may lose n more live instances now. Small losses within
// the window are summed.
func (src *source) lossAllowed(now time.Duration, n int, cfg *Config) bool {
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

// holdLost keeps an instance that its source lost together with too many others.
func (s *Set) holdLost(now time.Duration, rec *record) {
	src := rec.source
	src.setState(rec, recordHeld)
	rec.stateSince = now
	live, held := src.recordCount[recordLive], src.recordCount[recordHeld]
	src.reason = fmt.Sprintf("lost %d of %d at once: held", held, held+live)
	s.markChanged(rec.Addr)
	s.timers[rec.Addr] = true
}

// mayRemoveHeld reports whether a held instance is due for removal.
func (s *Set) mayRemoveHeld(now time.Duration, rec *record) bool {
	src := rec.source
	return now-rec.stateSince >= s.cfg.LossHold && src.recordCount[recordLive] > 0 && !src.silent
}
