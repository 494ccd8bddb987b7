package quota

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidConfigs(t *testing.T) {
	for _, test := range []struct {
		change func(*Config)
		want   string
	}{
		{func(c *Config) { c.Nodes = nil }, "0 nodes"},
		{func(c *Config) { c.Nodes[1].Parent = "lockyer" },
			`"downs": the parent "lockyer" is not there before it: a cycle`},
		{func(c *Config) { c.Nodes[2].Name = "downs" }, "there twice"},
		{func(c *Config) { c.Nodes[2].Name = "" }, "a name is needed"},
		{func(c *Config) { c.Nodes[2].Parent = "" }, "the first node has no parent"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 90 },
			`"service": requests over 10s: its children are entitled to 111 together, and it has 100`},
		{func(c *Config) { c.Nodes[1].Limits[0].Window = 0 }, "a window above 0"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 0.01 }, "it would never let anything pass"},
		{func(c *Config) { c.Nodes[1].Limits[0].Ceiling = 1 }, "a ceiling that is not under it"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = math.NaN() }, "a rate above 0"},
		{func(c *Config) { c.Nodes[1].Weight = -1 }, "a weight of -1"},
		{func(c *Config) { c.RepaymentShare = 2 }, "repay 2"},
		{nestTooDeep, "8 at most"},
	} {
		config := twoTenants(100)
		test.change(&config)
		if _, err := New(config); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%v, want %s", err, test.want)
		}
	}
}

func nestTooDeep(c *Config) {
	for i := range MaxDepth {
		parent := c.Nodes[len(c.Nodes)-1].Name
		c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint(i), Parent: parent})
	}
}

func TestNodeErrorNamesTheNode(t *testing.T) {
	config := twoTenants(100)
	config.Nodes[2].Name = "downs"
	_, err := New(config)
	var fault *NodeError
	if !errors.As(err, &fault) || fault.Node != "downs" || !errors.Is(err, ErrNameDuplicate) {
		t.Errorf("error %v, want ErrNameDuplicate of downs", err)
	}
	if want := `quota: "downs": the name is there twice`; err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

func TestUnknownNodeIsRejected(t *testing.T) {
	decision := newTree(t, twoTenants(100)).Admit(0, oneRequest("unknown"))
	if decision.Outcome != Rejected || decision.RetryAfter != 0 {
		t.Errorf("an unknown node: %+v", decision)
	}
}
