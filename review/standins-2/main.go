// Command drill plays the cases 6 to 10 of the review: it starts the project's sidecar as the deploy file
// says, stands in for its clients, upstreams and discovery, and judges one rule by what they see.
//
//	drill CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in
// the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// playCase plays a case and returns the descriptions of the broken rules that were seen.
type playCase func(play *play) (broken []string, err error)

var cases = map[string]playCase{
	"6":  playAddressReuse,
	"7":  playLabelledZones,
	"8":  playHalfMessages,
	"9":  playRunawayState,
	"10": playReloads,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		return 2
	}
	play, err := newPlay(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		return 2
	}
	play.endOnSignal()
	broken, err := cases[os.Args[1]](play)
	play.end()
	if err != nil {
		play.record("could not run: %v", err)
		play.close()
		fmt.Fprintln(os.Stderr, "drill:", err)
		return 2
	}
	for _, text := range broken {
		play.record("BROKEN %s", text)
	}
	play.record("verdict: %d breaks", len(broken))
	play.close()
	fmt.Printf("case %s, trouble %v: %d breaks\n", os.Args[1], play.trouble, len(broken))
	for _, text := range broken[:min(3, len(broken))] {
		fmt.Println(" ", text)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
