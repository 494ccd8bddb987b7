package try

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// errRuleViolated is the error that Run returns if a rule was violated.
var errRuleViolated = errors.New("a rule was violated")

// rule is the number of a rule in the summary, from 1.
type rule int

// Rules that the demo checks.
const (
	oneFinalResponse    rule = iota + 1 // each request gets one response before its deadline
	noEffectTwice                       // no request that is not idempotent is executed twice
	noRequestAfterDrain                 // a draining endpoint gets no request after rig.DrainTimeLimit
	noOverload                          // an endpoint that is warming up gets no more requests than it can serve
	lastRule            = noOverload
)

// ruleNames contains the printed names: short in the line of a violation, long in the summary.
var ruleNames = [lastRule + 1]struct{ short, long string }{
	oneFinalResponse:    {"one final response", "one final response before the deadline"},
	noEffectTwice:       {"no effect executed twice", "no effect executed twice"},
	noRequestAfterDrain: {"no request after a drain", "no request after a drain"},
	noOverload:          {"no overload during warm-up", "no overload during warm-up"},
}

// violation is a rule with a description of how it was violated.
type violation struct {
	rule        rule
	description string
}

// String returns the violation's line in the summary.
func (v violation) String() string {
	return fmt.Sprintf("rule %d (%s): %s", v.rule, ruleNames[v.rule].short, v.description)
}

// tolerance is added to each time limit of the rules, because the demo runs on real sockets.
const tolerance = 50 * time.Millisecond

// maxPrintedViolations is the maximum number of violations in the summary.
const maxPrintedViolations = 10

// Warm-up and overload of a restarted upstream, as in the settings of package rig.
const (
	initialCapacityShare = 0.3
	warmUpTime           = 8 * time.Second
	overloadFactor       = 2.5 // multiple of the current capacity that overloads within overloadWindow
	overloadWindow       = time.Second
	// capacityFactor is the capacity of a warm upstream, as a multiple of an equal share of the load.
	capacityFactor = 2.0
	// chanceDeviations is the number of standard deviations above the expected Poisson count that is
	// still attributed to chance.
	chanceDeviations = 3
)

// addViolation records a violation. The caller must hold d.mu.
func (d *demo) addViolation(rule rule, format string, arguments ...any) {
	d.violations = append(d.violations, violation{rule, fmt.Sprintf(format, arguments...)})
}

// checkFinalResponse checks the outcome of one request. The caller must hold d.mu.
func (d *demo) checkFinalResponse(call peers.Call, result peers.Result, latency time.Duration) {
	switch {
	case result.Outcome == peers.Lost || result.Outcome == peers.InvalidRequest:
		d.addViolation(oneFinalResponse, "%s: %s %s %v", call.ID, result.Outcome, result.Text, result.Err)
	case latency > call.Timeout+tolerance:
		d.addViolation(oneFinalResponse, "%s: got a response after %v, want one within %v",
			call.ID, latency, call.Timeout)
	}
}

// checkRules checks the rules that apply to all requests together and prints the summary.
func (d *demo) checkRules() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkEffects()
	d.checkDrain()
	d.checkOverload()
	d.printRules()
	if len(d.violations) == 0 {
		return nil
	}
	for _, violation := range d.violations[:min(maxPrintedViolations, len(d.violations))] {
		fmt.Fprintln(d.Out, violation)
	}
	return errRuleViolated
}

// checkEffects checks that no request that is not idempotent was executed twice.
func (d *demo) checkEffects() {
	notIdempotent := func(id string) bool { return strings.HasPrefix(id, rig.NonIdempotent) }
	for _, description := range d.rig.Ledger.DescribeRepeatedExecutions(notIdempotent) {
		d.addViolation(noEffectTwice, "%s", description)
	}
}

// checkDrain checks that the draining upstream got no request after the drain's time limit.
func (d *demo) checkDrain() {
	name := d.rig.Nodes[drainingUpstream].Name
	lastAllowed := d.drainedAt.Add(rig.DrainTimeLimit + tolerance)
	if late := len(timesAfter(d.rig.Ledger.AttemptTimes(name), lastAllowed)); late > 0 {
		d.addViolation(noRequestAfterDrain, "%d requests were sent to %s more than %v after its drain began",
			late, name, rig.DrainTimeLimit)
	}
}

// checkOverload checks that in no window the restarted upstream got more requests than it can serve
// while it is warming up. It reports at most one violation.
func (d *demo) checkOverload() {
	if d.restartAt.IsZero() {
		return
	}
	name := d.rig.Nodes[restartingUpstream].Name
	attempts := timesAfter(d.rig.Ledger.AttemptTimes(name), d.restartAt)
	for i, first := range attempts {
		count := countWithin(attempts[i:], first, overloadWindow)
		age := first.Sub(d.restartAt)
		if budget := d.overloadBudget(age); exceedsByMoreThanChance(count, budget) {
			d.addViolation(noOverload,
				"%s was sent %d requests within %v, %v after its start; its budget was %.0f",
				name, count, overloadWindow, age.Round(time.Millisecond), budget)
			return
		}
	}
}

// overloadBudget returns how many requests a restarted upstream may get in a window that begins when
// the upstream has the given age.
func (d *demo) overloadBudget(age time.Duration) float64 {
	warmCapacity := capacityFactor * float64(d.Rate) / upstreamCount // a second
	capacityShare := min(1, initialCapacityShare+(1-initialCapacityShare)*float64(age)/float64(warmUpTime))
	return overloadFactor * capacityShare * warmCapacity * overloadWindow.Seconds()
}

// exceedsByMoreThanChance reports whether a count is too high for a Poisson distribution with the
// expected mean.
func exceedsByMoreThanChance(count int, expected float64) bool {
	return float64(count) > expected+chanceDeviations*math.Sqrt(expected)
}

// printRules prints for each rule whether it was kept.
func (d *demo) printRules() {
	var violated [lastRule + 1]bool
	for _, violation := range d.violations {
		violated[violation.rule] = true
	}
	for rule := oneFinalResponse; rule <= lastRule; rule++ {
		result := "kept"
		if violated[rule] {
			result = "BROKEN"
		}
		fmt.Fprintf(d.Out, "rule %d  %-38s %s\n", rule, ruleNames[rule].long, result)
	}
}

// timesAfter returns the times that are later than moment.
func timesAfter(times []time.Time, moment time.Time) []time.Time {
	var later []time.Time
	for _, at := range times {
		if at.After(moment) {
			later = append(later, at)
		}
	}
	return later
}

// countWithin returns how many of the times are less than window after start.
func countWithin(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if at.Sub(start) < window {
			count++
		}
	}
	return count
}
