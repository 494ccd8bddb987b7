package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// typicalValues is how many values settings have, roughly.
const typicalValues = 128

// Parse reads the simulator's form, lines of path=value. An error names the line.
func Parse(info []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, typicalValues)}
	for i, line := range bytes.Split(info, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, found := strings.Cut(string(line), "=")
		if !found {
			return nil, fmt.Errorf("settings line %d: no '=' in %.60q", i+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// ParseJSON reads the platform's form, a JSON object. The path of a value is the keys
// that lead to it, joined by dots; a list of plain values is joined by commas; a list of
// objects has its length under .count. Nulls are ignored.
func ParseJSON(text []byte) (*Settings, error) {
	var root map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // a number stays as it was written
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, typicalValues)}
	for key, value := range root {
		s.flatten(key, value)
	}
	return s, nil
}

// flatten stores a JSON value under its path.
func (s *Settings) flatten(path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for key, inner := range value {
			s.flatten(path+"."+key, inner)
		}
	case []any:
		s.flattenList(path, value)
	default:
		s.values[path] = fmt.Sprint(value)
	}
}

func (s *Settings) flattenList(path string, list []any) {
	hasObjects := false
	plain := make([]string, 0, len(list))
	for i, inner := range list {
		if _, isObject := inner.(map[string]any); isObject {
			hasObjects = true
			s.flatten(path+"."+strconv.Itoa(i), inner)
			continue
		}
		plain = append(plain, fmt.Sprint(inner))
	}
	if hasObjects || len(list) == 0 {
		s.values[path+suffixCount] = strconv.Itoa(len(list))
	}
	s.values[path] = strings.Join(plain, ",")
}
