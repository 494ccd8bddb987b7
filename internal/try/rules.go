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

// errRuleViolated is Run's error where a rule does not hold.
var errRuleViolated = errors.New("a rule was broken")

// rule is the number of a rule, from 1, as the summary prints it.
type rule int

// The rules.
const (
	oneFinalAnswer rule = iota + 1 // each request gets one response before its deadline
	noEffectTwice                  // no request that is not idempotent is executed twice
	drainsKept                     // a draining endpoint gets no request after rig.DrainWithin
	noOverload                     // an endpoint that warms up gets no more than it can serve
	lastRule       = noOverload
)

// ruleNames are printed: short with a violation, long in the summary.
var ruleNames = [lastRule + 1]struct{ short, long string }{
	oneFinalAnswer: {"one final answer", "one final answer before the deadline"},
	noEffectTwice:  {"no effect twice", "no effect twice"},
	drainsKept:     {"drains kept", "drains kept"},
	noOverload:     {"no cold server pushed over", "no cold server pushed over"},
}

// violation is how a rule was violated.
type violation struct {
	rule        rule
	description string
}

// String returns the line of the summary.
func (v violation) String() string {
	return fmt.Sprintf("rule %d (%s): %s", v.rule, ruleNames[v.rule].short, v.description)
}

// tolerance is what the rules allow on sockets beyond each of their times.
const tolerance = 50 * time.Millisecond

// maxPrintedViolations bounds the violations in the summary.
const maxPrintedViolations = 10

// A restarted upstream warms up and overloads as the settings have it.
const (
	initialCapacityShare = 0.3
	warmUpTime           = 8 * time.Second
	overloadFactor       = 2.5 // of its capacity at the time, within overloadWindow
	overloadWindow       = time.Second
	// capacityFactor is an upstream's capacity once warm, in even shares of the load.
	capacityFactor = 2.0
	// chanceDeviations are the standard deviations of a Poisson count that count as chance.
	chanceDeviations = 3
)

// addViolation is called with mu held.
func (d *demo) addViolation(rule rule, format string, arguments ...any) {
	d.violations = append(d.violations, violation{rule, fmt.Sprintf(format, arguments...)})
}

// checkFinalAnswer checks one request's outcome. It is called with mu held.
func (d *demo) checkFinalAnswer(call peers.Call, result peers.Result, latency time.Duration) {
	switch {
	case result.Outcome == peers.Lost || result.Outcome == peers.InvalidRequest:
		d.addViolation(oneFinalAnswer, "%s: %s %s %v", call.ID, result.Outcome, result.Text, result.Err)
	case latency > call.Timeout+tolerance:
		d.addViolation(oneFinalAnswer, "%s: answered after %v of %v", call.ID, latency, call.Timeout)
	}
}

// checkRules checks the rules that concern all requests together and prints the summary.
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

func (d *demo) checkEffects() {
	notIdempotent := func(id string) bool { return strings.HasPrefix(id, rig.Once) }
	for _, description := range d.rig.Ledger.ExecutedTwice(notIdempotent) {
		d.addViolation(noEffectTwice, "%s", description)
	}
}

func (d *demo) checkDrain() {
	name := d.rig.Nodes[drainingUpstream].Name
	lastAllowed := d.drainedAt.Add(rig.DrainWithin + tolerance)
	if late := len(timesAfter(d.rig.Ledger.AttemptTimes(name), lastAllowed)); late > 0 {
		d.addViolation(drainsKept, "%d requests were sent to %s later than %v after it drained",
			late, name, rig.DrainWithin)
	}
}

// checkOverload looks for a window in which the restarted upstream got more requests than it can
// serve while it warms up.
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
				"%s was sent %d requests within %v, %v after its start; %.0f was its budget",
				name, count, overloadWindow, age.Round(time.Millisecond), budget)
			return
		}
	}
}

// overloadBudget is how many requests a restarted upstream can get in a window that begins at its age.
func (d *demo) overloadBudget(age time.Duration) float64 {
	warmCapacity := capacityFactor * float64(d.Rate) / upstreamCount // a second
	capacityShare := min(1, initialCapacityShare+(1-initialCapacityShare)*float64(age)/float64(warmUpTime))
	return overloadFactor * capacityShare * warmCapacity * overloadWindow.Seconds()
}

func exceedsByMoreThanChance(count int, expected float64) bool {
	return float64(count) > expected+chanceDeviations*math.Sqrt(expected)
}

// printRules prints whether each rule was kept.
func (d *demo) printRules() {
	var violated [lastRule + 1]bool
	for _, violation := range d.violations {
		violated[violation.rule] = true
	}
	for rule := oneFinalAnswer; rule <= lastRule; rule++ {
		result := "kept"
		if violated[rule] {
			result = "BROKEN"
		}
		fmt.Fprintf(d.Out, "rule %d  %-38s %s\n", rule, ruleNames[rule].long, result)
	}
}

// timesAfter returns the times that are later than a moment.
func timesAfter(times []time.Time, moment time.Time) []time.Time {
	var later []time.Time
	for _, at := range times {
		if at.After(moment) {
			later = append(later, at)
		}
	}
	return later
}

// countWithin counts the times that are less than a window after its start.
func countWithin(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if at.Sub(start) < window {
			count++
		}
	}
	return count
}
