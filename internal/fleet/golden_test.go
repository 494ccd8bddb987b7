package fleet_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/golden"
	"mothridge/internal/lab"
)

// scenarioFolder is the folder of the scenario files.
const scenarioFolder = "../../lab"

// addValue adds all exported fields of a value in their order but not their names, so that renaming a field does not
// change the digest.
func addValue(digest golden.Digest, value reflect.Value) {
	if histogram, ok := value.Interface().(*hdrhistogram.Histogram); ok {
		for i, count := range histogram.Export().Counts {
			if count != 0 {
				digest.AddNumbers('h', int64(i), count)
			}
		}
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			addValue(digest, value.Field(i))
		}
	case reflect.Slice:
		digest.AddNumbers('l', int64(value.Len()))
		for i := range value.Len() {
			addValue(digest, value.Index(i))
		}
	case reflect.String:
		digest.AddText('s', value.String())
	case reflect.Float64:
		digest.AddFloat('f', value.Float())
	case reflect.Uint64:
		digest.AddNumbers('u', int64(value.Uint()))
	case reflect.Int, reflect.Int64:
		digest.AddNumbers('i', value.Int())
	case reflect.Bool:
		digest.AddText('b', fmt.Sprint(value.Bool()))
	default:
		panic(fmt.Sprintf("values of type %v cannot be digested", value.Type()))
	}
}

func digestOf(values ...any) golden.Digest {
	digest := golden.NewDigest()
	for _, value := range values {
		addValue(digest, reflect.ValueOf(value))
	}
	return digest
}

// recordRun runs a scenario, and runs it again with its last sample explained. It returns a line with the main counters
// and a digest of both complete results.
func recordRun(t *testing.T, name string, scenario fleet.Scenario) string {
	t.Helper()
	scenario.RecordUtilisation = true
	result, err := fleet.Run(scenario)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	explained := result
	if len(result.Samples) > 0 {
		scenario.ExplainRequest = result.Samples[len(result.Samples)-1].ID
		if explained, err = fleet.Run(scenario); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return fmt.Sprintf("%s: %d %d %d %d %d, %d events, %d lines, %v\n", name, result.Submissions, result.Served, result.Rejected, result.Failed, result.Lost,
		result.Events, len(explained.Explanation), digestOf(*result, *explained))
}

func loadScenario(t *testing.T, file string, settings ...string) fleet.Scenario {
	t.Helper()
	scenario, err := lab.LoadScenario(filepath.Join(scenarioFolder, file), settings...)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Seed = 7
	return scenario
}

// goldenSettings replace settings of the site's scenario. Each entry contains SETTING=VALUE pairs, separated by
// semicolons.
var goldenSettings = []string{
	"policy=random", "policy=random;retries=naive", "policy=round-robin", "policy=two-choices;retries=budget", "policy=peak-ewma",
	"policy=peak-ewma;retries=naive", "policy=bulkhead", "policy=bulkhead;retries=budget;load=1.2", "load=1.3", "probes=true;load=0.9",
	`list={lag="800ms", asked=true};trouble=[{kind="drain",at="2s",node=0},{kind="silent",at="3s",for="3s"},{kind="drain",at="4s",for="2s",of=0.3}]`,
	`list={lag="800ms"};trouble=[{kind="silent",at="3s",for="3s"},{kind="restart",at="4s",for="500ms",of=0.4}]`,
	`list={lag="800ms", membership=true, cell=3};trouble=[{kind="wrong",at="2s",for="4s",of=0.7},{kind="drain",at="7s",for="2s",node=1}]`,
	`list={lag="300ms", cell=2};trouble=[{kind="wrong",at="2s",for="4s",of=0.7}]`,
	`trouble=[{kind="drain",at="1s",for="2s",node=1},{kind="stale",at="4s",for="2s"}]`,
	`trouble=[{kind="hang",at="2s",for="4s",of=0.3}]`, `trouble=[{kind="mute",at="2s",for="4s",of=0.3}]`, `trouble=[{kind="deaf",at="2s",for="4s",of=0.3}]`,
	`trouble=[{kind="break",at="2s",for="4s",of=0.5,share=0.4}]`, `trouble=[{kind="steal",at="2s",for="4s",of=0.5,share=0.7,every="300ms"}]`,
	`trouble=[{kind="steal",at="2s",node=2,share=0.9}]`, `trouble=[{kind="restart",at="2s",node=2}]`,
	`trouble=[{kind="burst",at="2s",for="4s",times=4.0}]`, `trouble=[{kind="power-cut",at="2s",for="2s"}]`, `trouble=[{kind="sidecar-up",at="2s"}]`,
	`quotas={part=0.5,reclaim="1s",repay=0.1,debt_age="60s",lends=true}`, `quotas={part=0.25,windows=["1s"]}`,
	`network={delay="1ms",handshake="2ms",trips=2,idle="200ms",most=3}`, `clients={tries=3,patience=[0.3,0.6],heeds=0.5,pause="20ms",insists=true};load=1.1`,
	`daily={period="5s",swing=0.4};skew=1.1`, `node.choke={above=1.5,after="300ms",times=3.0,rest="500ms",longest="4s"};load=1.0`, "most_events=20000",
}

// The scenario files give exactly the recorded results, so that a change of the simulation cannot go unnoticed.
func TestScenarioFilesGiveTheRecordedResults(t *testing.T) {
	var lines strings.Builder
	files, err := filepath.Glob(scenarioFolder + "/validity/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("scenario files: got %q, error %v", files, err)
	}
	for _, path := range files {
		file := "validity/" + filepath.Base(path)
		lines.WriteString(recordRun(t, file, loadScenario(t, file)))
	}
	for _, settings := range []string{"policy=random;retries=naive", "policy=two-choices;retries=budget", "policy=mothridge"} {
		lines.WriteString(recordRun(t, settings, loadScenario(t, "study/storm-base.toml", strings.Split(settings, ";")...)))
	}
	for _, settings := range goldenSettings {
		list := append([]string{`duration="10s"`}, strings.Split(settings, ";")...)
		lines.WriteString(recordRun(t, settings, loadScenario(t, "site.toml", list...)))
	}
	golden.Check(t, "scenarios", lines.String())
}

// The digests include the scenario files that are written, so that a changed key of a scenario file is found, too.
func TestSmallScenariosGiveTheRecordedResults(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(150) {
		scenario := fleet.RandomScenario(seed)
		var file bytes.Buffer
		if err := lab.WriteScenario(&file, scenario); err != nil {
			t.Fatal(err)
		}
		plan, err := fleet.PlanArrivals(scenario)
		if err != nil {
			t.Fatal(err)
		}
		lines.WriteString(fmt.Sprintf("file %v, %d planned %v; ", digestOf(file.String()), len(plan), digestOf(plan)))
		lines.WriteString(recordRun(t, fmt.Sprint("small ", seed), scenario))
	}
	golden.Check(t, "small", lines.String())
}

// recordSingleNode sends random requests and faults to one node, and returns a digest of its results and their times.
func recordSingleNode(seed uint64) golden.Digest {
	digest, rng := golden.NewDigest(), rand.New(rand.NewPCG(seed, 3))
	node := fleet.NewSingleNode(fleet.NodeParams{
		Cores: 2, Speed: 1.5, MaxRequests: 12, InitialSpeedShare: 0.3, WarmUpTime: 2 * time.Second, WarmUpOverloadFactor: 2, StartsCold: seed%2 == 0,
		OverloadCollapse: fleet.OverloadCollapse{RequestsPerCore: 2, OnsetTime: 200 * time.Millisecond, Slowdown: 2, RecoveryTime: 300 * time.Millisecond, MaxDuration: 4 * time.Second},
	})
	faults := []fleet.Fault{{Kind: fleet.Hang}, {Kind: fleet.StealCPU, Share: 0.6}, {Kind: fleet.Restart}}
	now := time.Duration(0)
	for i := range 3000 {
		now += time.Duration(rng.ExpFloat64() * 15 * float64(time.Millisecond))
		next, due := node.Advance(now)
		digest.AddText('a', fmt.Sprint(next, due))
		accepted := node.Submit(time.Duration(rng.ExpFloat64()*40*float64(time.Millisecond)), func(ok bool) { digest.AddText('d', fmt.Sprint(i, ok)) })
		digest.AddText('t', fmt.Sprint(accepted))
		switch fault := faults[rng.IntN(3)]; rng.IntN(60) {
		case 0:
			node.BeginFault(fault)
		case 1, 2, 3:
			node.EndFault(fault)
		}
	}
	return digest
}

// A single node and the trials of the discovery service give exactly the recorded results.
func TestTrialsGiveTheRecordedResults(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(6) {
		fmt.Fprintf(&lines, "single %d: %v\n", seed, recordSingleNode(seed))
	}
	for _, maxWait := range []time.Duration{0, 2 * time.Second} {
		for _, rule := range []fleet.DiscoveryRule{fleet.FixedTimeout, fleet.HedgedCalls} {
			for _, hasList := range []bool{false, true} {
				trial := fleet.DiscoveryTrial{
					Sidecars: 300, ServiceTime: 66 * time.Millisecond, MaxWait: maxWait, HasList: hasList, Rule: rule,
					StartSpread: 200 * time.Millisecond, Seed: 1, MaxCalls: 3000,
				}
				fmt.Fprintf(&lines, "rejected after %v, %s, %v: %v\n", maxWait, rule, hasList, digestOf(trial.Run()))
			}
		}
	}
	golden.Check(t, "trials", lines.String())
}
