// Package operator reads the operators' file (deploy/mothridge.toml), which holds all settings
// beyond the platform's configuration. Each table has a source file of its own here, with its
// keys, their defaults and their checks. A feature whose table is absent is off. The file is
// read strictly: unknown keys are errors, and all problems are reported at once, each with its
// position and with the rule that the value must meet.
package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
)

// File is the content of the operators' file.
type File struct {
	Sidecar *Sidecar `toml:"sidecar"` // nil: the platform configures the sidecar
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

	path string // path that Load read; empty if the text did not come from a file
}

// Path returns the path from which Load read the file; it is empty if Parse made the File.
func (f *File) Path() string { return f.path }

// maxFileBytes bounds the size of a file.
const maxFileBytes = 1 << 20

// Load reads and checks a file. The error is a *FileError if the text has problems. Relative
// paths of plug-ins are resolved against the directory of the file.
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

// Parse parses and checks a text. Errors give name as the name of the file. All problems of
// the text are reported together, as a *FileError.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: file must be at most %[3]d bytes, got %[2]d", name, len(text), maxFileBytes)
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

// check checks, table by table, the rules that involve more than one value.
func (f *File) check(d *decoder) {
	f.Admin.check(d)
	checkListeners(f.Listeners, d)
	checkPools(f.Pools, d)
	f.checkSources(d)
	f.checkStandalone(d)
	checkPlugins(f.Plugins, d)
	f.checkQuotas(d)
}

// Summary returns one line that summarises the settings of the file.
func (f *File) Summary() string {
	var parts []string
	if f.Sidecar != nil {
		parts = append(parts,
			"a sidecar at "+string(f.Sidecar.Listen),
			fmt.Sprintf("%d classes", len(f.Classes)),
			fmt.Sprintf("%d tenants", len(f.Tenants)))
	}
	parts = append(parts, fmt.Sprintf("%d additional listeners", len(f.Listeners)), fmt.Sprintf("%d pools", len(f.Pools)))
	if f.Merges() {
		parts = append(parts,
			fmt.Sprintf("%d Eureka registries", len(f.Eureka)),
			fmt.Sprintf("%d static lists", len(f.Static)))
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
