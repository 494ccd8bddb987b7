package policy

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// The README must list every counter of Counters with its name in logs, and must not name a counter or
// a field that does not exist.
func TestReadmeListsCounters(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{"SlotsFree": true, "QueueFree": true, "Share": true, "Slots": true, "ColdTime": true}
	counters := reflect.TypeFor[Counters]()
	for i := range counters.NumField() {
		known[counters.Field(i).Name] = false
		if name := counters.Field(i).Tag.Get("metric"); !strings.Contains(string(page), "| `"+name+"` | `"+counters.Field(i).Name+"` |") {
			t.Errorf("README.md has no table row with the log name %s of a counter", name)
		}
	}
	for _, match := range regexp.MustCompile("`([A-Z][A-Za-z]+)`").FindAllSubmatch(page, -1) {
		if _, ok := known[string(match[1])]; !ok {
			t.Errorf("README.md names %s, which does not exist", match[1])
		}
		known[string(match[1])] = true
	}
	for name, named := range known {
		if !named {
			t.Errorf("README.md does not name %s", name)
		}
	}
}
