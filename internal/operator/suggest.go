package operator

import (
	"fmt"
	"reflect"
	"strings"
)

// maxEdits is the largest edit distance between an unknown key and a suggested key.
const maxEdits = 2

// suggestion returns the end of the message about an unknown key: the most similar known key
// or, if none is similar, all known keys of the table.
func suggestion(t reflect.Type, key string) string {
	if nearest := nearestKey(t, key); nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	return "; known keys: " + strings.Join(knownKeys(t), ", ")
}

// knownKeys returns the keys of a table, in the order of its fields.
func knownKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("toml"); key != "" { // a field without a tag is not read from the file
			keys = append(keys, key)
		}
	}
	return keys
}

// nearestKey returns the known key with the smallest edit distance to an unknown key, or "" if
// none is within maxEdits.
func nearestKey(t reflect.Type, key string) string {
	nearest, fewest := "", maxEdits+1
	for _, name := range knownKeys(t) {
		// Two edits turn any short name into any other, so the limit is lower for short names.
		if edits := distance(key, name); edits < fewest && edits < max(2, len(name)-1) {
			nearest, fewest = name, edits
		}
	}
	return nearest
}

// distance returns the number of bytes to insert, remove or change to turn a into b
// (Levenshtein, 1966). For an a that is much longer than b it returns an upper bound.
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
