package lab

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"mothridge/internal/fleet"
	"mothridge/internal/golden"
)

// settingPaths returns the paths of all settings below a type, as scenario and experiment files contain them.
func settingPaths(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice {
		t, prefix = t.Elem(), prefix+"0."
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var paths []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name == "-" {
			continue
		}
		paths = append(paths, prefix+name)
		paths = append(paths, settingPaths(t.Field(i).Type, prefix+name+".")...)
	}
	return paths
}

// TestSettingsKeepTheirNames guards against a changed toml tag in fleet.Scenario, which would make existing scenario
// and experiment files invalid.
func TestSettingsKeepTheirNames(t *testing.T) {
	paths := settingPaths(reflect.TypeFor[fleet.Scenario](), "")
	slices.Sort(paths)
	for _, path := range paths {
		if err := checkPath(reflect.TypeFor[fleet.Scenario](), strings.Split(path, ".")); err != nil {
			t.Errorf("path %s: got error %v, want none", path, err)
		}
	}
	golden.Check(t, "settings", strings.Join(paths, "\n")+"\n")
}
