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

// TestEurekaAPI checks each call, and that the calls are those of docs/protocol/eureka.md.
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
			t.Errorf("%s: %s: %d %.600s; want %d %s", test.name, test.call, status, body, test.status, test.want)
		}
	}
	documented := documentedCalls(t)
	for name := range documented {
		if !tested[name] {
			t.Errorf("the page's row %q has no test", name)
		}
	}
	for name := range tested {
		if !documented[name] {
			t.Errorf("the page has no row %q", name)
		}
	}
}

func startEureka(t *testing.T) *Eureka {
	t.Helper()
	registry, err := StartEureka("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	return registry
}

// callURL resolves a path: one that begins with / has its own base.
func callURL(registry *Eureka, path string) string {
	if strings.HasPrefix(path, "/") {
		return strings.TrimSuffix(registry.URL(), eurekaV2Path) + path
	}
	return registry.URL() + "/" + path
}

// documentedCalls returns the names in the first column of the page's table of calls.
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
			t.Errorf("the page has row %q twice", name)
		}
		names[name] = true
	}
	return names
}

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

// registerPort registers r1 with a port and a lastDirtyTimestamp.
func registerPort(t *testing.T, registry *Eureka, port, lastDirtyMs string) {
	t.Helper()
	replacer := strings.NewReplacer(":1234", ":"+port, `"50"`, `"`+lastDirtyMs+`"`)
	body := replacer.Replace(registration)
	status, response := callEureka(t, http.MethodPost, registry.URL()+"/apps/RECORDS", "json", body)
	if status != http.StatusNoContent {
		t.Fatal(status, response)
	}
}

func renewR1(t *testing.T, registry *Eureka) (status int) {
	t.Helper()
	status, _ = callEureka(t, http.MethodPut, registry.URL()+"/apps/RECORDS/r1", "json", "")
	return status
}

// Two clients under one id share one entry, which the later registration of the two sets.
func TestEurekaTwoClientsUnderOneID(t *testing.T) {
	registry := startEureka(t)
	registerPort(t, registry, "1111", "60")
	registerPort(t, registry, "2222", "50")
	registerPort(t, registry, "1111", "61")
	instance, _ := registry.Instance("r1")
	if instance.Port != 1111 || instance.LastDirtyMs != 61 || registry.Calls("register") != 3 {
		t.Errorf("two under one id: %+v", instance)
	}
}

// The renewal of an evicted instance fails until the instance has registered again.
func TestEurekaRenewalAfterEviction(t *testing.T) {
	registry := startEureka(t)
	registerPort(t, registry, "1111", "61")
	registry.SetLeaseDuration(time.Nanosecond)
	if status := renewR1(t, registry); status != http.StatusNotFound {
		t.Errorf("renewed after its eviction: %d", status)
	}
	registry.SetLeaseDuration(time.Hour)
	registerPort(t, registry, "1111", "61")
	if status := renewR1(t, registry); status != http.StatusOK {
		t.Errorf("renewed after registering anew: %d", status)
	}
}
