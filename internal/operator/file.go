// Package operator reads the operators' file (deploy/mothridge.toml): all that is set
// beyond the platform's configuration. Each table has a file of its own here, with its
// keys, their defaults and their checks. What is absent is off. The file is read strictly,
// and all that is wrong with it is reported at once, each problem with its position and
// what would be right.
package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
)

// File is the operators' file.
type File struct {
	Sidecar *Sidecar `toml:"sidecar"` // nil: the platform configures it
	Classes []Class  `toml:"class"`
	Tenants []Tenant `toml:"tenant"`

	Admin     Admin      `toml:"admin"`
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Pools     []Pool     `toml:"pool"`

	Membership Membership `toml:"membership"`
	Eureka     []Eureka   `toml:"eureka"`
	Static     []Static   `toml:"static"`

	Plugins []Plugin `toml:"plugin"`
	Lending Lending  `toml:"quotas"`
	Quotas  []Quota  `toml:"quota"`

	path string // where it was read; empty: nowhere
}

// Path is where the file was read.
func (f *File) Path() string { return f.path }

// maxFileBytes bounds the size of a file.
const maxFileBytes = 1 << 20

// Load reads and checks a file. What is wrong with its text is a *FileError.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the operators' file: %w", err)
	}
	f, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	f.path = name
	for i := range f.Plugins {
		if p := &f.Plugins[i]; !filepath.IsAbs(p.File) {
			p.File = filepath.Join(filepath.Dir(name), p.File)
		}
	}
	return f, nil
}

// Parse reads and checks a text; name stands in errors for the file's. All that is wrong
// is reported at once, as a *FileError.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: a file of %d bytes: %d at most", name, len(text), maxFileBytes)
	}
	problems := newProblemList(text)
	f := new(File)
	if root, complete := parse(text, problems); complete {
		d := &decoder{problemList: problems, offsets: make(map[string]int)}
		d.table(root, reflect.ValueOf(f).Elem(), "")
		f.check(d)
	}
	if err := problems.err(name); err != nil {
		return nil, err
	}
	return f, nil
}

// check checks what one value alone does not show, table by table.
func (f *File) check(d *decoder) {
	f.Admin.check(d)
	checkListeners(f.Listeners, d)
	checkPools(f.Pools, d)
	f.checkSources(d)
	f.checkStandalone(d)
	checkPlugins(f.Plugins, d)
	f.checkQuotas(d)
}

// Summary says in a line what the file sets.
func (f *File) Summary() string {
	var parts []string
	if f.Sidecar != nil {
		parts = append(parts,
			"a sidecar at "+string(f.Sidecar.Listen),
			fmt.Sprintf("%d classes", len(f.Classes)),
			fmt.Sprintf("%d tenants", len(f.Tenants)))
	}
	parts = append(parts, fmt.Sprintf("%d more listeners", len(f.Listeners)), fmt.Sprintf("%d pools", len(f.Pools)))
	if f.Merges() {
		parts = append(parts,
			fmt.Sprintf("%d Eureka registries", len(f.Eureka)),
			fmt.Sprintf("%d fixed lists", len(f.Static)))
	}
	if len(f.Plugins) > 0 {
		parts = append(parts, fmt.Sprintf("%d plug-ins", len(f.Plugins)))
	}
	if len(f.Quotas) > 0 {
		parts = append(parts, fmt.Sprintf("%d quotas", len(f.Quotas)))
	}
	if f.Limits.Slots > 0 {
		parts = append(parts, fmt.Sprintf("%d slots", f.Limits.Slots))
	}
	return strings.Join(parts, ", ")
}
