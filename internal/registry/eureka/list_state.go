package eureka

// listState holds what the client knows of a replica's list of instances: only the data needed to apply
// deltas and to compute the list's hash.
type listState struct {
	versions      map[string]instanceVersion // by instance ID
	countByStatus map[string]int             // number of instances
	lastDelta     map[deltaKey]struct{}      // entries of the previous delta; a replica repeats an entry for minutes
}

// instanceVersion orders the updates of one instance and detects repeated updates.
type instanceVersion struct {
	status         string
	dirty, updated int64
}

// deltaKey identifies an entry of a delta, so that an entry that is repeated in the next delta is skipped.
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
	return instanceVersion{instance.Status, instance.LastDirty, instance.LastUpdated}
}

func countByStatus(instances []Instance) map[string]int {
	count := make(map[string]int, 5)
	for i := range instances {
		count[instances[i].Status]++
	}
	return count
}

// hash returns the hash that the replica should report for the same list.
func (l *listState) hash() string { return HashCode(l.countByStatus) }

// applyDelta applies the entries of a delta and returns the entries that change the list. The cost grows
// with the number of entries, not with the length of the list.
func (l *listState) applyDelta(entries []Instance) (changes []Instance) {
	delta := make(map[deltaKey]struct{}, len(entries))
	for i := range entries {
		entry := &entries[i]
		key := deltaKey{entry.ID, entry.Action, entry.Status, entry.OverriddenStatus, entry.LastDirty, entry.LastUpdated}
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

// applyEntry applies an entry of a delta and reports whether the entry changes the list. An entry MODIFIED
// for an unknown instance is applied like an entry ADDED.
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

// isOlderThan compares the dirty times first, and the updated times only if the dirty times are equal.
func (v instanceVersion) isOlderThan(other instanceVersion) bool {
	if v.dirty != other.dirty {
		return v.dirty < other.dirty
	}
	return v.updated < other.updated
}
