package peers

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestEurekaAPI checks the response to each call, and that the tested calls and the rows of
// docs/protocol/eureka.md are the same. The test guards against a stand-in that differs from its page.
func TestEurekaAPI(t *testing.T) {
	registry := startEureka(t)
	tested := make(map[string]bool)
	for _, test := range eurekaCalls {
		tested[test.name] = true
		method, path, _ := strings.Cut(test.call, " ")
		status, body := callEureka(t, method, callURL(registry, path), test.format, test.body)
		unwanted, inverted := strings.CutPrefix(test.want, "-")
		matches := strings.Contains(body, unwanted) != inverted
		if status != test.status || !matches {
			t.Errorf("%s: %s: got status %d, body %.600s; want status %d, body with %s",
				test.name, test.call, status, body, test.status, test.want)
		}
	}
	documented := documentedCalls(t)
	for name := range documented {
		if !tested[name] {
			t.Errorf("docs/protocol/eureka.md has row %q, which has no test", name)
		}
	}
	for name := range tested {
		if !documented[name] {
			t.Errorf("docs/protocol/eureka.md has no row %q, which is tested", name)
		}
	}
}

func startEureka(t *testing.T) *EurekaRegistry {
	t.Helper()
	registry, err := StartEureka("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	return registry
}

// callURL returns the URL of a call. A path that begins with / contains its own base.
func callURL(registry *EurekaRegistry, path string) string {
	if strings.HasPrefix(path, "/") {
		return strings.TrimSuffix(registry.URL(), eurekaV2Path) + path
	}
	return registry.URL() + "/" + path
}

// documentedCalls returns the names in the first column of the table of calls in
// docs/protocol/eureka.md.
func documentedCalls(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "protocol", "eureka.md"))
	if err != nil {
		t.Fatal(err)
	}
	calls, _, _ := strings.Cut(string(page), "## What is read")
	firstColumn := regexp.MustCompile("(?m)^\\| ([^|`]+) \\|")
	names := make(map[string]bool)
	for _, row := range firstColumn.FindAllStringSubmatch(calls, -1) {
		name := row[1]
		if name == "test" || name == "---" {
			continue
		}
		if names[name] {
			t.Errorf("docs/protocol/eureka.md has row %q twice, want once", name)
		}
		names[name] = true
	}
	return names
}

// callEureka sends a request to the registry and returns the status and the body of the response.
func callEureka(t *testing.T, method, url, format, body string) (status int, response string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if format != "" {
		request.Header.Set("Content-Type", "application/"+format+"; charset=utf-8")
		request.Header.Set("Accept", "application/"+format)
	}
	result, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer result.Body.Close()
	text, err := io.ReadAll(result.Body)
	if err != nil {
		t.Fatal(err)
	}
	return result.StatusCode, string(text)
}

// registerPort registers instance r1 with a port and a lastDirtyTimestamp.
func registerPort(t *testing.T, registry *EurekaRegistry, port, lastDirtyMs string) {
	t.Helper()
	replacer := strings.NewReplacer(":1234", ":"+port, `"50"`, `"`+lastDirtyMs+`"`)
	body := replacer.Replace(registration)
	status, response := callEureka(t, http.MethodPost, registry.URL()+"/apps/RECORDS", "json", body)
	if status != http.StatusNoContent {
		t.Fatal(status, response)
	}
}

// renewR1 renews the lease of instance r1 and returns the status of the response.
func renewR1(t *testing.T, registry *EurekaRegistry) (status int) {
	t.Helper()
	status, _ = callEureka(t, http.MethodPut, registry.URL()+"/apps/RECORDS/r1", "json", "")
	return status
}

// Two clients that register under the same id share one entry. The registration with the later
// lastDirtyTimestamp determines the entry, even if the other registration arrives after it.
func TestEurekaTwoClientsUnderOneID(t *testing.T) {
	registry := startEureka(t)
	registerPort(t, registry, "1111", "60")
	registerPort(t, registry, "2222", "50")
	registerPort(t, registry, "1111", "61")
	instance, _ := registry.Instance("r1")
	if instance.Port != 1111 || instance.LastDirtyMs != 61 || registry.CallCount("register") != 3 {
		t.Errorf("two clients under one id: got %+v, want port 1111, LastDirtyMs 61 and 3 registrations", instance)
	}
}

// The renewal of an evicted instance fails with 404 until the instance has registered again.
func TestEurekaRenewalAfterEviction(t *testing.T) {
	registry := startEureka(t)
	registerPort(t, registry, "1111", "61")
	registry.SetLeaseDuration(time.Nanosecond)
	if status := renewR1(t, registry); status != http.StatusNotFound {
		t.Errorf("renewal after the eviction: got status %d, want 404", status)
	}
	registry.SetLeaseDuration(time.Hour)
	registerPort(t, registry, "1111", "61")
	if status := renewR1(t, registry); status != http.StatusOK {
		t.Errorf("renewal after registering again: got status %d, want 200", status)
	}
}
