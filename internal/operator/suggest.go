package operator

import (
	"fmt"
	"reflect"
	"strings"
)

// maxEdits is how many edits away from an unknown key a suggestion may be.
const maxEdits = 2

// suggestion is what follows the report of an unknown key: the known key that is probably
// meant, or all of them.
func suggestion(t reflect.Type, key string) string {
	if near := nearestKey(t, key); near != "" {
		return fmt.Sprintf(": %q is meant?", near)
	}
	return ": known here are " + strings.Join(knownKeys(t), ", ")
}

// knownKeys lists the keys of a table.
func knownKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("toml"); key != "" { // else it is no key of the file
			keys = append(keys, key)
		}
	}
	return keys
}

// nearestKey is the known key with the smallest distance to an unknown one, or "".
func nearestKey(t reflect.Type, key string) string {
	best, smallest := "", maxEdits+1
	for _, name := range knownKeys(t) {
		// Two edits make any short name of another.
		if d := distance(key, name); d < smallest && d < max(2, len(name)-1) {
			best, smallest = name, d
		}
	}
	return best
}

// distance is how many bytes have to be inserted, removed or changed (Levenshtein, 1966).
func distance(a, b string) int {
	if len(a) > len(b)+maxEdits+1 {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
