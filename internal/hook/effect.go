package hook

import "time"

// Effect is an action that a run requests. The caller of Machine.Run executes it.
type Effect struct {
	Kind       EffectKind
	Name       string
	Text       string
	RetryAfter time.Duration
}

// EffectKind is a kind of Effect.
type EffectKind uint8

// The kinds of effects, each with the fields of Effect that it uses.
const (
	SetHeader    EffectKind = iota // Name and Text
	RemoveHeader                   // Name
	Tag                            // Text
	SetTenant                      // Text
	Refuse                         // Text is the reason, RetryAfter the value of Retry-After
	Count                          // Name of a metric of the plug-in
	Label                          // Name and Text label an outcome or a member
)

// effectHooks are, for each kind of effect, the kinds of events for which a run may request the effect.
var effectHooks = [...]hookSet{
	SetHeader:    hookSetOf(KindRequest),
	RemoveHeader: hookSetOf(KindRequest),
	Tag:          hookSetOf(KindRequest),
	SetTenant:    hookSetOf(KindRequest),
	Refuse:       hookSetOf(KindRequest),
	Count:        hookSetOf(KindRequest, KindOutcome, KindMember),
	Label:        hookSetOf(KindOutcome, KindMember),
}
