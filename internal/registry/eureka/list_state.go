package eureka

// listState is what a replica's list is known to hold, as far as deltas and the list's hash need
// it.
type listState struct {
	versions      map[string]instanceVersion // by instance ID
	countByStatus map[string]int             // instances
	lastDelta     map[deltaKey]struct{}      // its entries; a replica repeats them for minutes
}

// instanceVersion orders the updates of one instance and detects equal ones.
type instanceVersion struct {
	status         string
	dirty, updated int64
}

// deltaKey identifies an entry of a delta.
type deltaKey struct {
	id, action, status, override string
	dirty, updated               int64
}

func newListState(instances []Instance) *listState {
	l := &listState{
		versions:      make(map[string]instanceVersion, len(instances)),
		countByStatus: countByStatus(instances),
	}
	for i := range instances {
		l.versions[instances[i].ID] = versionOf(&instances[i])
	}
	return l
}

func versionOf(instance *Instance) instanceVersion {
	return instanceVersion{instance.Status, instance.Dirty, instance.Updated}
}

func countByStatus(instances []Instance) map[string]int {
	count := make(map[string]int, 5)
	for i := range instances {
		count[instances[i].Status]++
	}
	return count
}

// hash returns the hash that the replica has for the same list.
func (l *listState) hash() string { return HashCode(l.countByStatus) }

// applyDelta applies the entries of a delta, at their cost alone, and returns those that change
// the list.
func (l *listState) applyDelta(entries []Instance) (changes []Instance) {
	delta := make(map[deltaKey]struct{}, len(entries))
	for i := range entries {
		entry := &entries[i]
		key := deltaKey{entry.ID, entry.Action, entry.Status, entry.Override, entry.Dirty, entry.Updated}
		delta[key] = struct{}{}
		if _, repeated := l.lastDelta[key]; repeated {
			continue
		}
		if l.applyEntry(entry) {
			changes = append(changes, *entry)
		}
	}
	l.lastDelta = delta
	return changes
}

// applyEntry applies an entry and reports whether it changes the list. A MODIFIED of an unknown
// instance is as good as an ADDED.
func (l *listState) applyEntry(entry *Instance) bool {
	current, known := l.versions[entry.ID]
	next := versionOf(entry)
	deleted := entry.Action == "DELETED"
	switch {
	case known && next.isOlderThan(current):
		return false
	case known && !deleted && next == current:
		return false
	case !known && deleted:
		return false
	}
	if known {
		l.countByStatus[current.status]--
	}
	if deleted {
		delete(l.versions, entry.ID)
		return true
	}
	l.versions[entry.ID] = next
	l.countByStatus[next.status]++
	return true
}

func (v instanceVersion) isOlderThan(than instanceVersion) bool {
	if v.dirty != than.dirty {
		return v.dirty < than.dirty
	}
	return v.updated < than.updated
}
