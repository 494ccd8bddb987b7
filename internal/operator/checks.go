package operator

import "strings"

// reportAt adds a problem of a key. Its position is the value of the key or, if the key is
// absent, the innermost table around it.
func (d *decoder) reportAt(path, format string, args ...any) {
	d.report(d.offsetOf(path), path, format, args...)
}

// offsetOf returns the offset of the value at a path, or of the innermost table around it.
func (d *decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// require reports a key that is absent from a table or whose value is empty. The format states
// the rule for the value. A key whose value is invalid has been reported before and is not
// reported again.
func (d *decoder) require(path, key string, missing bool, format string, args ...any) {
	if _, present := d.offsets[path+"."+key]; missing && !present {
		d.reportAt(path, "%s is missing: "+format, append([]any{key}, args...)...)
	} else if missing && !d.reported(path+"."+key) {
		d.reportAt(path+"."+key, "value is empty: "+format, args...)
	}
}

// uniqueNames collects the names of the tables of one kind and reports a name that two of
// them have.
type uniqueNames struct {
	*decoder
	kind  string
	index map[string]int // index of the table with a name
	next  int            // index of the next table
}

func (d *decoder) newUniqueNames(kind string) *uniqueNames {
	return &uniqueNames{decoder: d, kind: kind, index: make(map[string]int)}
}

// add adds the name of the next table, and reports the name if an earlier table has it.
func (n *uniqueNames) add(path, name string) {
	if earlier, taken := n.index[name]; taken && name != "" {
		n.reportAt(path+".name", "must be unique: %s %d is already named %q", n.kind, earlier+1, name)
	}
	n.index[name] = n.next
	n.next++
}

func (n *uniqueNames) has(name string) bool {
	_, present := n.index[name]
	return present
}
