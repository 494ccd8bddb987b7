package operator

import "strings"

// reportAt adds a problem of a key, at the position of its value or else of the table round it.
func (d *decoder) reportAt(path, format string, args ...any) {
	d.report(d.offsetOf(path), path, format, args...)
}

func (d *decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// require reports that a table lacks a key, or that its value is empty. One that is there
// and wrong has been reported.
func (d *decoder) require(path, key string, missing bool, format string, args ...any) {
	if _, there := d.offsets[path+"."+key]; missing && !there {
		d.reportAt(path, "%s is missing: "+format, append([]any{key}, args...)...)
	} else if missing && !d.reported(path+"."+key) {
		d.reportAt(path+"."+key, "it is empty: "+format, args...)
	}
}

// names are the names of the tables of one kind, each of which has to have its own.
type names struct {
	*decoder
	kind  string
	index map[string]int
	next  int // the index of the next table
}

func (d *decoder) newNames(kind string) *names {
	return &names{decoder: d, kind: kind, index: make(map[string]int)}
}

// add adds the name of the next table, and reports one that an earlier table has.
func (n *names) add(path, name string) {
	if other, taken := n.index[name]; taken && name != "" {
		n.reportAt(path+".name", "%s %d is named %q already: each needs its own name", n.kind, other+1, name)
	}
	n.index[name] = n.next
	n.next++
}

func (n *names) has(name string) bool {
	_, there := n.index[name]
	return there
}
