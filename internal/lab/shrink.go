package lab

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothridge/internal/fleet"
)

// FaultCheck reports whether a run shows the fault that Shrink must preserve.
type FaultCheck func(*fleet.Result) bool

// ParseFault parses the description of a fault: a violated rule such as "rule 2", "any rule", or a condition on a measure
// such as "good<0.9".
func ParseFault(text string) (FaultCheck, error) {
	if text == "any rule" {
		return func(r *fleet.Result) bool { return len(r.Violations) > 0 }, nil
	}
	if strings.HasPrefix(text, "rule ") {
		return func(r *fleet.Result) bool {
			return slices.ContainsFunc(r.Violations, func(violation string) bool { return strings.Contains(violation, ": "+text+":") })
		}, nil
	}
	for _, op := range []string{"<", ">"} {
		measure, boundText, ok := strings.Cut(text, op)
		if !ok {
			continue
		}
		index, err := MeasureIndex(strings.TrimSpace(measure))
		if err != nil {
			return nil, err
		}
		bound, err := strconv.ParseFloat(strings.TrimSpace(boundText), 64)
		if err != nil {
			return nil, fmt.Errorf("%q: bound must be a number, got %q", text, boundText)
		}
		return func(r *fleet.Result) bool {
			value := Measure(r)[index]
			return op == "<" && value < bound || op == ">" && value > bound
		}, nil
	}
	return nil, fmt.Errorf("fault must be \"rule 1\" to \"rule 4\", \"any rule\" or a bound on a measure such as \"good<0.9\", got %q",
		text)
}

// Shrink reduces a scenario that shows a fault, as long as it finds a smaller scenario that still shows the fault: with
// fewer nodes, sidecars and faults, a shorter duration or fewer features. Shrink returns an error if the given scenario
// does not show the fault; then it runs at most maxRuns smaller scenarios. It calls onSmaller, if that is not nil, with
// each smaller scenario that shows the fault.
func Shrink(s fleet.Scenario, fault FaultCheck, maxRuns int, onSmaller func(fleet.Scenario)) (fleet.Scenario, error) {
	showsFault := func(candidate fleet.Scenario) bool {
		r, err := fleet.Run(candidate)
		return err == nil && fault(r)
	}
	if _, err := fleet.Run(s); err != nil {
		return s, err
	}
	if !showsFault(s) {
		return s, fmt.Errorf("the scenario with seed %d does not show the fault", s.Seed)
	}
	for foundSmaller := true; foundSmaller; {
		foundSmaller = false
		for _, smaller := range smallerVariants(s) {
			if maxRuns--; maxRuns < 0 {
				return s, nil
			}
			if showsFault(smaller) {
				s, foundSmaller = smaller, true
				if onSmaller != nil {
					onSmaller(s)
				}
				break // the new scenario has its own smaller variants
			}
		}
	}
	return s, nil
}

// smallerVariants returns scenarios that are smaller than s in one respect each, with the largest reductions first.
func smallerVariants(s fleet.Scenario) []fleet.Scenario {
	var variants []fleet.Scenario
	// addVariant adds a changed copy of s. The change returns false if it does not make the copy smaller or valid.
	addVariant := func(change func(*fleet.Scenario) bool) {
		c := s
		c.Faults, c.Classes, c.Tenants = slices.Clone(s.Faults), slices.Clone(s.Classes), slices.Clone(s.Tenants)
		if change(&c) {
			variants = append(variants, c)
		}
	}
	for _, share := range []float64{0.5, 0.8} {
		addVariant(func(c *fleet.Scenario) bool {
			c.Duration = time.Duration(float64(c.Duration) * share).Round(10 * time.Millisecond)
			c.Faults = slices.DeleteFunc(c.Faults, func(fault fleet.Fault) bool { return fault.Start > c.Duration })
			return c.Duration >= 500*time.Millisecond
		})
	}
	reduce := func(count *int, target int) bool {
		previous := *count
		*count = max(1, target)
		return *count < previous
	}
	for _, less := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		addVariant(func(c *fleet.Scenario) bool { return reduce(&c.Sidecars, less(c.Sidecars)) })
		addVariant(func(c *fleet.Scenario) bool {
			previous := c.Nodes
			smaller := reduce(&c.Nodes, less(c.Nodes))
			c.ArrivalRate *= float64(c.Nodes) / float64(previous) // keeps the load of each remaining node
			for i := range c.Faults {
				c.Faults[i].Node %= c.Nodes
			}
			return smaller
		})
	}
	for i := range s.Faults {
		addVariant(func(c *fleet.Scenario) bool { c.Faults = slices.Delete(c.Faults, i, i+1); return true })
		addVariant(func(c *fleet.Scenario) bool { c.Faults[i].NodeShare = 0; return s.Faults[i].NodeShare > 0 })
	}
	if len(s.RecordedArrivals) == 0 {
		for i := range s.Classes {
			addVariant(func(c *fleet.Scenario) bool { c.Classes = slices.Delete(c.Classes, i, i+1); return len(c.Classes) > 0 })
		}
		addVariant(func(c *fleet.Scenario) bool { c.Tenants = nil; return len(s.Tenants) > 0 })
	}
	for _, removeFeature := range []func(*fleet.Scenario) bool{
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
		func(c *fleet.Scenario) bool { c.Daily = fleet.RateVariation{}; return s.Daily != c.Daily },
		func(c *fleet.Scenario) bool { c.LoadReports = false; return s.LoadReports },
		func(c *fleet.Scenario) bool { c.TrafficSkew = 0; return s.TrafficSkew > 0 },
		func(c *fleet.Scenario) bool { c.SpeedFactors = nil; return len(s.SpeedFactors) > 0 },
		func(c *fleet.Scenario) bool {
			c.Clients = fleet.Clients{MaxSubmissions: s.Clients.MaxSubmissions}
			return len(s.Clients.TimeoutShares) > 0 || s.Clients.RetryBackoff > 0 || s.Clients.MaxRetryAfter > 0
		},
		func(c *fleet.Scenario) bool { return reduce(&c.Clients.MaxSubmissions, c.Clients.MaxSubmissions-1) },
		func(c *fleet.Scenario) bool { return reduce(&c.MaxAttempts, c.MaxAttempts-1) },
	} {
		addVariant(removeFeature)
	}
	return variants
}
