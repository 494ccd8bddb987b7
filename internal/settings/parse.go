package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// typicalValues is about the number of values in real settings. It sizes the map.
const typicalValues = 128

// Parse parses settings in the simulator's format, lines of path=value. An error contains the
// line number.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, typicalValues)}
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, found := strings.Cut(string(line), "=")
		if !found {
			return nil, fmt.Errorf("settings line %d: must be path=value, got %.60q", i+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// ParseJSON parses settings in the platform's format, a JSON object. The path of a value is
// formed from the keys of the objects around it, joined by dots. A list of plain values is stored
// as one value, joined by commas. The length of a list of objects is stored under the list's
// path with .count appended. Nulls are ignored.
func ParseJSON(text []byte) (*Settings, error) {
	var root map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // keeps the text of each number unchanged
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, typicalValues)}
	for key, value := range root {
		s.flatten(key, value)
	}
	return s, nil
}

// flatten stores a JSON value, and all values inside it, under their paths.
func (s *Settings) flatten(path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for key, member := range value {
			s.flatten(path+"."+key, member)
		}
	case []any:
		s.flattenList(path, value)
	default:
		s.values[path] = fmt.Sprint(value)
	}
}

// flattenList stores a JSON list: each object under its index, the plain values joined by commas.
func (s *Settings) flattenList(path string, list []any) {
	hasObjects := false
	plainValues := make([]string, 0, len(list))
	for i, element := range list {
		if _, isObject := element.(map[string]any); isObject {
			hasObjects = true
			s.flatten(path+"."+strconv.Itoa(i), element)
			continue
		}
		plainValues = append(plainValues, fmt.Sprint(element))
	}
	if hasObjects || len(list) == 0 {
		s.values[path+suffixCount] = strconv.Itoa(len(list))
	}
	s.values[path] = strings.Join(plainValues, ",")
}
