package sidecar

import (
	"path/filepath"
	"strings"
	"testing"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","later":1,"known":7,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"caps":{"most_tries":3},"later":null,
		"classes":[{"name":"a","aim_ms":1,"hard_limit_ms":2}]}}`

// loadText writes text to a file and loads it as the configuration, with environment as the
// variables other than ROUTER_CONFIG.
func loadText(t *testing.T, text string, environment map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	return LoadConfig(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return environment[name]
	})
}

func TestLoadConfig(t *testing.T) {
	config, err := loadText(t, goodConfig, map[string]string{"ROUTER_LISTEN": "127.0.0.1:9"})
	if err != nil || config.Name != "n3" || config.Listen != "127.0.0.1:9" || config.Seed != 255 ||
		config.CachedList != nil || config.Limits.Sockets != 1024 ||
		config.DialTimeout != defaultDialTimeout || config.UpstreamIdleTimeout != defaultUpstreamIdleTimeout {
		t.Errorf("got configuration %+v, error %v", config, err)
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("without ROUTER_CONFIG: got no error")
	}
}

func TestLoadConfig_ErrorIsOneLineWithPosition(t *testing.T) {
	for name, c := range map[string]struct{ part, replacement, want string }{
		"no JSON":        {"{", "(", "line 1, column 1: "},
		"truncated text": {`"settings":{`, `"settings":`, "line 2, column 79"},
		"wrong type":     {`"sockets":1024`, `"sockets":"many"`, "line 2, column "},
		"no settings":    {`"settings"`, `"others"`, "settings are missing, must be a JSON object"},
		"no seed":        {`"ff"`, `"seed"`, "seed must have 1 to 16 hexadecimal digits, got \"seed\""},
		"no address":     {"127.0.0.1:2", "discovery.internal", "discovery must be an IP address and a port: "},
		"few sockets":    {"1024", "3", "limits.sockets must be at least 64, got 3"},
		"wrong number":   {`"most_tries":3`, `"most_tries":"x"`, "settings: caps.most_tries must be a finite number"},
		"no deadline":    {`,"hard_limit_ms":2`, ``, "settings: classes.0.hard_limit_ms is missing"},
		"no name":        {`"name":"a"`, `"name":""`, "settings: the name of each class and tenant must not be empty"},
	} {
		_, err := loadText(t, strings.Replace(goodConfig, c.part, c.replacement, 1), nil)
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one line with %q", name, err, c.want)
		}
	}
}
