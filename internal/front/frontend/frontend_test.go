package frontend

import (
	"net/http"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/policy"
)

func TestRequestRules(t *testing.T) {
	classes := []string{"read", "keyed", "once"}
	idempotency := []policy.Idempotency{policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent}
	rules := NewRequestRules(classes, idempotency, []string{"north", "south"})
	for class, name := range classes {
		if got, known := rules.Class(name); got != class || !known {
			t.Errorf("class %q: got number %d, known %v", name, got, known)
		}
		if got := rules.Idempotency(class); got != idempotency[class] {
			t.Errorf("class %q: got idempotency %v", name, got)
		}
	}
	if tenant, known := rules.Tenant("south"); tenant != 1 || !known {
		t.Errorf("tenant south: got number %d, known %v; want 1, true", tenant, known)
	}
	for _, name := range []string{"", "west", "Read"} {
		if _, known := rules.Class(name); known {
			t.Errorf("class %q: got known, want unknown", name)
		}
		if _, known := rules.Tenant(name); known {
			t.Errorf("tenant %q: got known, want unknown", name)
		}
	}
	withoutTenants := NewRequestRules(classes, idempotency, nil)
	if tenant, known := withoutTenants.Tenant("any"); tenant != 0 || !known {
		t.Errorf("no tenants configured: got number %d, known %v; want 0, true", tenant, known)
	}
}

func TestMethod(t *testing.T) {
	for idempotency, want := range map[policy.Idempotency]string{
		policy.Idempotent: http.MethodGet, policy.IdempotentByKey: http.MethodPost, policy.NotIdempotent: http.MethodPost,
	} {
		if got := Method(idempotency); got != want {
			t.Errorf("method for %v: got %s, want %s", idempotency, got, want)
		}
	}
}

func TestDeadline(t *testing.T) {
	arrival := time.Now()
	for timeout, want := range map[time.Duration]time.Duration{
		time.Second: time.Second - core.ResponseMargin, core.ResponseMargin: 0, time.Nanosecond: 0,
	} {
		if got := Deadline(arrival, timeout).Sub(arrival); got != want {
			t.Errorf("timeout %v: got a deadline %v after arrival, want %v", timeout, got, want)
		}
	}
}

func TestHasUnprintable(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "aZ~!": false, "a b": true, "a\n": true, "a\x7f": true, "é": true, "\xff": true,
	} {
		if got := HasUnprintable(text); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}
