package quota

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// TestNewRejectsInvalidConfigs checks that New returns an error that states the violated
// rule for each kind of invalid configuration.
func TestNewRejectsInvalidConfigs(t *testing.T) {
	for _, test := range []struct {
		change func(*Config)
		want   string
	}{
		{func(c *Config) { c.Nodes = nil }, "quota: Nodes must contain 1 to 10000 nodes, got 0"},
		{func(c *Config) { c.Nodes[1].Parent = "lockyer" },
			`"downs": parent "lockyer" must be defined before its children: wrong name or a cycle of parents`},
		{func(c *Config) { c.Nodes[2].Name = "downs" }, "name must be unique in the tree"},
		{func(c *Config) { c.Nodes[2].Name = "" }, "name must not be empty"},
		{func(c *Config) { c.Nodes[2].Parent = "" }, "the first node must have no parent"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 90 },
			`"service": requests over 10s: sum of the children's rates is 111, must not exceed the node's rate of 100`},
		{func(c *Config) { c.Nodes[1].Limits[0].Window = 0 }, "window must be above 0"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 0.01 }, "bucket must hold at least 1 to admit any request"},
		{func(c *Config) { c.Nodes[1].Limits[0].Ceiling = 1 }, "ceiling must be 0 or at least the rate"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = math.NaN() }, "rate must be above 0"},
		{func(c *Config) { c.Nodes[1].Weight = -1 }, "weight must be finite and at least 0 (0 means 1), got -1"},
		{func(c *Config) { c.RepaymentShare = 2 }, "quota: reclaim and debt_age must be at least 0 and repay 0 to 1, got reclaim 2s, debt_age 1m0s, repay 2"},
		{nestTooDeep, "exceeds the maximum of 8 levels"},
	} {
		config := twoTenants(100)
		test.change(&config)
		if _, err := New(config); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("got error %v, want %s", err, test.want)
		}
	}
}

// nestTooDeep adds a chain of MaxDepth nodes, each the parent of the next one.
func nestTooDeep(c *Config) {
	for i := range MaxDepth {
		parent := c.Nodes[len(c.Nodes)-1].Name
		c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint(i), Parent: parent})
	}
}

// TestNodeErrorNamesTheNode checks that the error of an invalid node contains the node's name
// and unwraps to the violated rule.
func TestNodeErrorNamesTheNode(t *testing.T) {
	config := twoTenants(100)
	config.Nodes[2].Name = "downs"
	_, err := New(config)
	var nodeError *NodeError
	if !errors.As(err, &nodeError) || nodeError.Node != "downs" || !errors.Is(err, ErrNameDuplicate) {
		t.Errorf("got error %v, want ErrNameDuplicate for node downs", err)
	}
	if want := `quota: "downs": name must be unique in the tree`; err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
}

// TestUnknownNodeIsRejected checks that a request for a node that is not in the tree is
// rejected without a RetryAfter.
func TestUnknownNodeIsRejected(t *testing.T) {
	decision := newTree(t, twoTenants(100)).Admit(0, oneRequest("unknown"))
	if decision.Outcome != Rejected || decision.RetryAfter != 0 {
		t.Errorf("unknown node: got %+v, want a rejection without a RetryAfter", decision)
	}
}
