package hopbyhop

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// fieldsOfOneHop are fields that must not cross from one hop to the other, in different spellings.
var fieldsOfOneHop = map[string][]string{
	"Transfer-Encoding": {"chunked"}, "Expect": {"100-continue"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
	"Trailer": {"X-Sum"}, "Upgrade": {"h2c"}, "Proxy-Connection": {"close"}, "Proxy-Authorization": {"Basic eA=="},
	"Proxy-Authenticate": {"Basic"}, "Proxy-Authentication-Info": {"x"}, "Content-Length": {"3"}, "Host": {"x"},
	"Request-Timeout": {"1"}, "Server-Load": {"TEXT busy_reqs=1"}, "Not-Started": {"1"},
}

// spell returns the fields with changed names.
func spell(change func(name string) string) map[string][]string {
	fields := map[string][]string{"X-End": {"a", "b"}}
	for name, values := range fieldsOfOneHop {
		fields[change(name)] = values
	}
	return fields
}

// Guards against a field of one hop that reaches the other because its name is spelled in another way.
func TestRemoveFindsEverySpelling(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"canonical":   func(name string) string { return name },
		"lower case":  strings.ToLower,
		"upper case":  strings.ToUpper,
		"blank":       func(name string) string { return name + " " },
		"blanks":      func(name string) string { return strings.ToLower(name) + " \t " },
		"line break":  func(name string) string { return name + "\r\n" },
		"break first": func(name string) string { return "\r\n" + name },
		"blank first": func(name string) string { return " " + name },
	} {
		fields := spell(change)
		Remove(fields)
		if names := slices.Collect(maps.Keys(fields)); !slices.Equal(names, []string{"X-End"}) || len(fields["X-End"]) != 2 {
			t.Errorf("%s: got fields %q, want X-End with both values alone", name, fields)
		}
	}
}

// Guards against a field that its message declares as its hop's own and that is forwarded all the same.
func TestFieldsListedInConnectionAreRemoved(t *testing.T) {
	for name, fields := range map[string]map[string][]string{
		"one":               {"Connection": {"X-Hop"}, "X-Hop": {"1"}},
		"list":              {"Connection": {"close ,\tx-hop , x-other"}, "X-Hop": {"1"}, "X-Other": {"2"}},
		"two fields":        {"Connection": {"close", "X-HOP"}, "X-Hop": {"1"}},
		"two spellings":     {"Connection": {"close"}, "connection": {"x-hop"}, "X-Hop": {"1"}},
		"blank in the name": {"Connection ": {"X-Hop"}, "x-hop ": {"1"}},
		"empty entries":     {"Connection": {",, ,X-Hop,"}, "X-Hop": {"1"}},
	} {
		fields["X-End"] = []string{"1"}
		RemoveConnectionFields(fields)
		if len(fields) != 1 || fields["X-End"] == nil {
			t.Errorf("%s: got fields %q, want X-End alone", name, fields)
		}
	}
}

// An end-to-end field whose name has a blank before its colon is forwarded under its valid name.
func TestBlanksBeforeTheColonAreRemoved(t *testing.T) {
	fields := map[string][]string{"X-Ledger": {"1"}, "x-ledger\t": {"2"}, "X-Ledger ": {"3"}, "no name": {"4"}, "": {"5"}}
	RemoveConnectionFields(fields)
	if len(fields) != 1 || !slices.Equal(fields["X-Ledger"], []string{"1", "3", "2"}) {
		t.Errorf("got fields %q, want X-Ledger with 1, 3 and 2 alone", fields)
	}
}

func TestIsHopByHop(t *testing.T) {
	for name := range fieldsOfOneHop {
		if !IsHopByHop(name) {
			t.Errorf("%s: got false, want true", name)
		}
	}
	for _, name := range []string{"Request-Id", "Idempotency-Key", "Content-Type", "Content-Encoding", "Authorization", "X-Hop"} {
		if IsHopByHop(name) {
			t.Errorf("%s: got true, want false", name)
		}
	}
}
