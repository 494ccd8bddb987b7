package lab

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothridge/internal/fleet"
)

// Fault is what a scenario is to go on showing while it is made smaller.
type Fault func(*fleet.Result) bool

// ParseFault reads a rule such as "rule 2", "any rule", or a bound on a measure
// such as "good<0.9" that is to be broken.
func ParseFault(text string) (Fault, error) {
	if text == "any rule" {
		return func(r *fleet.Result) bool { return len(r.Violations) > 0 }, nil
	}
	if strings.HasPrefix(text, "rule ") {
		return func(r *fleet.Result) bool {
			return slices.ContainsFunc(r.Violations, func(b string) bool { return strings.Contains(b, ": "+text+":") })
		}, nil
	}
	for _, op := range []string{"<", ">"} {
		name, bound, ok := strings.Cut(text, op)
		if !ok {
			continue
		}
		i, err := MeasureNumber(strings.TrimSpace(name))
		if err != nil {
			return nil, err
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(bound), 64)
		if err != nil {
			return nil, fmt.Errorf("%q: %q is no number", text, bound)
		}
		return func(r *fleet.Result) bool {
			v := Measure(r)[i]
			return op == "<" && v < x || op == ">" && v > x
		}, nil
	}
	return nil, fmt.Errorf("%q is no fault: \"rule 1\" to \"rule 4\", \"any rule\", or a measure's bound such as \"good<0.9\" is meant", text)
}

// Shrink makes a scenario that shows a fault as small as it finds: fewer nodes,
// sidecars and troubles, a shorter day, fewer features. It plays most scenarios
// at the most, and tells of each that is smaller and still shows the fault.
func Shrink(s fleet.Scenario, fault Fault, most int, told func(fleet.Scenario)) (fleet.Scenario, error) {
	shows := func(s fleet.Scenario) bool {
		r, err := fleet.Run(s)
		return err == nil && fault(r)
	}
	if _, err := fleet.Run(s); err != nil {
		return s, err
	}
	if !shows(s) {
		return s, fmt.Errorf("from seed %d the scenario does not show the fault", s.Seed)
	}
	for again := true; again; {
		again = false
		for _, smaller := range smallers(s) {
			if most--; most < 0 {
				return s, nil
			}
			if shows(smaller) {
				s, again = smaller, true
				if told != nil {
					told(s)
				}
				break // what is smaller now has other smaller ones
			}
		}
	}
	return s, nil
}

// smallers are scenarios somewhat smaller than another, the boldest first.
func smallers(s fleet.Scenario) []fleet.Scenario {
	var out []fleet.Scenario
	try := func(change func(*fleet.Scenario) bool) {
		c := s
		c.Faults, c.Classes, c.Tenants = slices.Clone(s.Faults), slices.Clone(s.Classes), slices.Clone(s.Tenants)
		if change(&c) {
			out = append(out, c)
		}
	}
	for _, part := range []float64{0.5, 0.8} {
		try(func(c *fleet.Scenario) bool {
			c.Duration = time.Duration(float64(c.Duration) * part).Round(10 * time.Millisecond)
			c.Faults = slices.DeleteFunc(c.Faults, func(t fleet.Fault) bool { return t.Start > c.Duration })
			return c.Duration >= 500*time.Millisecond
		})
	}
	count := func(n *int, to int) bool {
		was := *n
		*n = max(1, to)
		return *n < was
	}
	for _, cut := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		try(func(c *fleet.Scenario) bool { return count(&c.Sidecars, cut(c.Sidecars)) })
		try(func(c *fleet.Scenario) bool {
			was := c.Nodes
			smaller := count(&c.Nodes, cut(c.Nodes))
			c.ArrivalRate *= float64(c.Nodes) / float64(was) // what is left of them is as busy
			for i := range c.Faults {
				c.Faults[i].Node %= c.Nodes
			}
			return smaller
		})
	}
	for i := range s.Faults {
		try(func(c *fleet.Scenario) bool { c.Faults = slices.Delete(c.Faults, i, i+1); return true })
		try(func(c *fleet.Scenario) bool { c.Faults[i].NodeShare = 0; return s.Faults[i].NodeShare > 0 })
	}
	if len(s.RecordedArrivals) == 0 {
		for i := range s.Classes {
			try(func(c *fleet.Scenario) bool { c.Classes = slices.Delete(c.Classes, i, i+1); return len(c.Classes) > 0 })
		}
		try(func(c *fleet.Scenario) bool { c.Tenants = nil; return len(s.Tenants) > 0 })
	}
	for _, off := range []func(*fleet.Scenario) bool{
		func(c *fleet.Scenario) bool {
			c.Node.OverloadCollapse = fleet.OverloadCollapse{}
			return s.Node.OverloadCollapse != c.Node.OverloadCollapse
		},
		func(c *fleet.Scenario) bool {
			c.Network = fleet.Network{Delay: s.Network.Delay}
			return s.Network != c.Network
		},
		func(c *fleet.Scenario) bool { c.Network.Delay = 0; return s.Network.Delay > 0 },
		func(c *fleet.Scenario) bool {
			c.List = fleet.EndpointList{MaxDelay: s.List.MaxDelay}
			return s.List != c.List
		},
		func(c *fleet.Scenario) bool { c.List.MaxDelay = 0; return s.List.MaxDelay > 0 },
		func(c *fleet.Scenario) bool { c.Daily = fleet.Wave{}; return s.Daily != c.Daily },
		func(c *fleet.Scenario) bool { c.LoadReports = false; return s.LoadReports },
		func(c *fleet.Scenario) bool { c.TrafficSkew = 0; return s.TrafficSkew > 0 },
		func(c *fleet.Scenario) bool { c.SpeedFactors = nil; return len(s.SpeedFactors) > 0 },
		func(c *fleet.Scenario) bool {
			c.Clients = fleet.Clients{MaxSubmissions: s.Clients.MaxSubmissions}
			return len(s.Clients.TimeoutShares) > 0 || s.Clients.RetryBackoff > 0 || s.Clients.MaxRetryAfter > 0
		},
		func(c *fleet.Scenario) bool { return count(&c.Clients.MaxSubmissions, c.Clients.MaxSubmissions-1) },
		func(c *fleet.Scenario) bool { return count(&c.MaxAttempts, c.MaxAttempts-1) },
	} {
		try(off)
	}
	return out
}
