package lab

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"mothridge/internal/fleet"
	"mothridge/internal/golden"
)

// settingPaths returns the paths of all settings below a type, as scenario and experiment files name them.
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

// Scenario and experiment files name the settings by the tags of fleet.Scenario's fields: these stay.
func TestSettingsKeepTheirNames(t *testing.T) {
	paths := settingPaths(reflect.TypeFor[fleet.Scenario](), "")
	slices.Sort(paths)
	for _, path := range paths {
		if err := known(reflect.TypeFor[fleet.Scenario](), strings.Split(path, ".")); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	golden.Check(t, "settings", strings.Join(paths, "\n")+"\n")
}
